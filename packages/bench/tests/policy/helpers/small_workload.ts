import {
  adapterAt,
  type EngineProfile,
  type Workload,
  type WorkloadRequest,
} from "@foxtailwind/bench";
import {
  type ClassId,
  classId,
  engineId,
  instant,
  requestId,
  seconds,
  tenantId,
} from "@foxtailwind/core";

/** The one class of the small workload. */
export const DRAFTING: ClassId = classId("drafting");

/**
 * Makes a request for an adapter.
 * @param arrival When it arrives, in milliseconds.
 * @param adapter The adapter's number.
 * @returns The request.
 */
export function smallRequest(
  arrival: number,
  adapter: number,
): WorkloadRequest {
  return {
    request: requestId(`r${arrival}`),
    arrival: instant(arrival),
    adapter: adapterAt(adapter),
    class: DRAFTING,
    tenant: tenantId("t"),
    promptTokens: 100,
    prefixTokens: 0,
    prefixHash: `a${adapter}`,
    outputTokens: 10,
  };
}

/**
 * Makes an engine.
 * @param name Its name.
 * @param adapterSlots How many adapters it holds.
 * @returns Its profile.
 */
export function smallEngine(name: string, adapterSlots: number): EngineProfile {
  return {
    engine: engineId(name),
    capacity: { adapterSlots, batchCapacity: 4 },
    speed: 1,
    prefixCacheTokens: 1_000,
  };
}

/**
 * Makes a workload of few requests on two engines of two slots.
 * @param requests The requests.
 * @param changes What differs.
 * @returns The workload.
 */
export function smallWorkload(
  requests: readonly WorkloadRequest[],
  changes: Partial<Workload> = {},
): Workload {
  return {
    name: "small",
    deployment: "small",
    exponent: 1,
    seed: 1,
    engines: [smallEngine("e0", 2), smallEngine("e1", 2)],
    store: { loadsPerSecond: 5, fullSpeedLoads: 2 },
    classes: [{
      class: DRAFTING,
      firstTokenTarget: seconds(2),
      interactive: true,
      promptTokens: [100, 100],
      outputTokens: [10, 10],
      prefixShare: 0,
    }],
    requests,
    incidents: [],
    measuredFrom: instant(0),
    lastArrival: requests.at(-1)?.arrival ?? instant(0),
    ...changes,
  };
}
