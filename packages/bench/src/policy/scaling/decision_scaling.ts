import {
  type DeploymentPolicy,
  instant,
  milliseconds,
  requestId,
  seconds,
  tenantId,
} from "@foxtailwind/core";
import { DeploymentSimulation } from "../simulation/deployment_simulation.ts";
import { kauriFreshWorkload } from "../workloads/kauri_fresh.ts";
import { adapterAt } from "../workloads/request_generator.ts";
import type { StoreProfile, Workload } from "../workloads/workload.ts";

/** How a decision's processor time grows with the adapters. */
export interface ScalingResult {
  readonly policy: string;
  readonly smallAdapters: number;
  readonly largeAdapters: number;
  /** Mean microseconds a decision. */
  readonly small: number;
  readonly large: number;
  readonly ratio: number;
}

const SMALL = 3_000;
const LARGE = 71_000;
const EXPONENT = 1.3;
const REQUESTS_PER_SECOND = 12;
const SEED = 1;
const ROUNDS = 3;

/**
 * Measures a policy's decisions at 3,000 and at 71,000 adapters, on the same
 * eight engines and in one process. Each adapter is asked for once and
 * withdrawn before the run, so that state kept for the idle tail would show.
 * The sizes take turns, and the fastest round of each counts.
 * @param name The policy's name.
 * @param create Makes the policy.
 * @returns Both times and their ratio.
 */
export function measureScaling(
  name: string,
  create: (store: StoreProfile) => DeploymentPolicy,
): ScalingResult {
  let small = Infinity;
  let large = Infinity;
  for (let round = 0; round < ROUNDS; round += 1) {
    small = Math.min(small, decisionTime(SMALL, create));
    large = Math.min(large, decisionTime(LARGE, create));
  }
  return {
    policy: name,
    smallAdapters: SMALL,
    largeAdapters: LARGE,
    small,
    large,
    ratio: large / small,
  };
}

function decisionTime(
  adapters: number,
  create: (store: StoreProfile) => DeploymentPolicy,
): number {
  const workload = kauriFreshWorkload({
    exponent: EXPONENT,
    seed: SEED,
    requestsPerSecond: REQUESTS_PER_SECOND,
    adapters,
  });
  const policy = create(workload.store);
  touchEveryAdapter(policy, { adapters, workload });
  const simulation = new DeploymentSimulation(workload, policy);
  simulation.run();
  return simulation.clock.meanMicroseconds;
}

function touchEveryAdapter(
  policy: DeploymentPolicy,
  { adapters, workload }: {
    readonly adapters: number;
    readonly workload: Workload;
  },
): void {
  const [profile] = workload.classes;
  if (profile === undefined) return;
  const now = instant(0);
  for (let index = 0; index < adapters; index += 1) {
    const request = requestId(`touch${index}`);
    policy.handle(now, {
      kind: "request_arrived",
      queued: {
        request,
        adapter: adapterAt(index),
        class: profile.class,
        tenant: tenantId("touch"),
        firstTokenTarget: seconds(2),
        waitedBefore: milliseconds(0),
        promptTokens: 1,
        maximumTokens: 1,
      },
    });
    policy.handle(now, { kind: "request_cancelled", request });
  }
}
