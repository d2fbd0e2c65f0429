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

/** A stand-in that is listening. */
export interface StartedStandIn {
  readonly kind: StandInKind;
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly standIn: StandIn<CommonFaults>;
}

/**
 * Starts stand-ins in the given order. Engines without a configured weight
 * store use the one started before them. Engines and servers are added to the
 * VM lists started before them.
 * @param plans The stand-ins to start.
 * @returns The started stand-ins, which the caller must close.
 */
export async function startStandIns(
  plans: readonly StandInPlan[],
): Promise<readonly StartedStandIn[]> {
  const started: StartedStandIn[] = [];
  for (const plan of plans) {
    const weightStore = started.find(({ kind }) => kind === "weight_store");
    const standIn = createStandIn(plan, weightStore?.address);
    const { host, port, failureDomain } = plan.placement;
    const address = await standIn.listen({ host, port });
    const { kind, id } = plan;
    started.push({ kind, id, address, failureDomain, standIn });
    addToVmLists(started, describeVm(plan, address));
  }
  return started;
}

function createStandIn(
  plan: StandInPlan,
  weightStoreAddress: string | undefined,
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
        weightStoreAddress === undefined
          ? plan.settings
          : { weightStoreAddress, ...plan.settings },
      );
    case "service":
      return new FakePlainService(plan.settings);
  }
}

function addToVmLists(
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
