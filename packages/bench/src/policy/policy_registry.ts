import { AdapterServingPolicy, type DeploymentPolicy } from "@foxtailwind/core";
import type { StoreProfile } from "./workloads/workload.ts";
import { AdapterHashPolicy } from "./baselines/adapter_hash_policy.ts";
import { LeastLoadedPolicy } from "./baselines/least_loaded_policy.ts";
import { ResidentFirstPolicy } from "./baselines/resident_first_policy.ts";

/** A policy that the measurements can run, by name. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: (store: StoreProfile) => DeploymentPolicy;
}

/** All policies, baselines first. */
export const POLICIES: readonly NamedPolicy[] = [
  { name: "least-loaded", create: () => new LeastLoadedPolicy() },
  { name: "resident-first", create: () => new ResidentFirstPolicy() },
  { name: "adapter-hash", create: () => new AdapterHashPolicy() },
  { name: "foxtailwind", create: (store) => createOwn(store, 0) },
  {
    name: "foxtailwind, one permit more",
    create: (store) => createOwn(store, 1),
  },
];

function createOwn(
  store: StoreProfile,
  furtherPermits: number,
): DeploymentPolicy {
  return new AdapterServingPolicy({
    loadsPerSecond: store.loadsPerSecond,
    concurrentLoads: store.fullSpeedLoads + furtherPermits,
  });
}
