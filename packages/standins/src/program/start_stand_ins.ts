import {
  failureDomainId,
  modelId,
  regionId,
  serviceId,
} from "@foxtailwind/core";
import type { Vm, VmRole } from "@foxtailwind/edges";
import { FakeEngine } from "../engine/fake_engine.ts";
import { FakeLogService } from "../log_service/fake_log_service.ts";
import { FakePlainService } from "../plain_service/fake_plain_service.ts";
import type { CommonFaults } from "../shared/common_faults.ts";
import type { StandIn } from "../shared/stand_in.ts";
import { FakeVmList } from "../vm_list/fake_vm_list.ts";
import { FakeWeightStore } from "../weight_store/fake_weight_store.ts";
import type { StandInKind, StandInPlan } from "./plan.ts";

/** A stand-in that listens. */
export interface StartedStandIn {
  readonly kind: StandInKind;
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly standIn: StandIn<CommonFaults>;
}

/**
 * Starts stand-ins in their order. Engines that name no weight store fetch
 * from the one started here; the VM list shows the engines and the servers.
 * @param plans What to start.
 * @returns The stand-ins, to be closed by the caller.
 */
export async function startStandIns(
  plans: readonly StandInPlan[],
): Promise<readonly StartedStandIn[]> {
  const started: StartedStandIn[] = [];
  for (const plan of plans) {
    const store = started.find(({ kind }) => kind === "weight_store");
    const standIn = makeStandIn(plan, store?.address);
    const { host, port, failureDomain } = plan.placement;
    const address = await standIn.listen({ host, port });
    const { kind, id } = plan;
    started.push({ kind, id, address, failureDomain, standIn });
    showInVmLists(started, describeVm(plan, address));
  }
  return started;
}

function makeStandIn(
  plan: StandInPlan,
  storeAddress: string | undefined,
): StandIn<CommonFaults> {
  switch (plan.kind) {
    case "log_service":
      return new FakeLogService(plan.settings);
    case "weight_store":
      return new FakeWeightStore(plan.settings);
    case "vm_list":
      return new FakeVmList(plan.settings);
    case "engine":
      return new FakeEngine(
        storeAddress === undefined
          ? plan.settings
          : { weightStoreAddress: storeAddress, ...plan.settings },
      );
    case "service":
      return new FakePlainService(plan.settings);
  }
}

function showInVmLists(
  started: readonly StartedStandIn[],
  vm: Vm | undefined,
): void {
  if (vm === undefined) return;
  for (const { standIn } of started) {
    if (standIn instanceof FakeVmList) standIn.setVm(vm);
  }
}

function describeVm(plan: StandInPlan, address: string): Vm | undefined {
  const role = describeRole(plan);
  if (role === undefined) return undefined;
  return {
    id: plan.id,
    address: new URL(address).host,
    region: regionId(plan.placement.region),
    failureDomain: failureDomainId(plan.placement.failureDomain),
    role,
    state: "live",
  };
}

function describeRole(plan: StandInPlan): VmRole | undefined {
  switch (plan.kind) {
    case "engine": {
      const { model, checksFencing } = plan.settings;
      return { kind: "engine", model: modelId(model), checksFencing };
    }
    case "service":
      return { kind: "service", service: serviceId(plan.placement.service) };
    case "log_service":
    case "weight_store":
    case "vm_list":
      return undefined;
  }
}
