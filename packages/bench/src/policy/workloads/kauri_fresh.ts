import { classId, engineId, instant, seconds } from "@foxtailwind/core";
import { engineProfiles } from "./engine_profiles.ts";
import { RequestGenerator } from "./request_generator.ts";
import type { ClassProfile, Workload } from "./workload.ts";

const ENGINES = engineProfiles([
  { adapterSlots: 8, batchCapacity: 4, speed: 0.6 },
  { adapterSlots: 8, batchCapacity: 6, speed: 0.7 },
  { adapterSlots: 12, batchCapacity: 8, speed: 0.8 },
  { adapterSlots: 12, batchCapacity: 8, speed: 1 },
  { adapterSlots: 16, batchCapacity: 12, speed: 1 },
  { adapterSlots: 16, batchCapacity: 12, speed: 1.2 },
  { adapterSlots: 24, batchCapacity: 16, speed: 1.3 },
  { adapterSlots: 32, batchCapacity: 16, speed: 1.5 },
]);

const DRAFTING: ClassProfile = {
  class: classId("drafting"),
  firstTokenTarget: seconds(2),
  interactive: true,
  promptTokens: [200, 600],
  outputTokens: [50, 130],
  prefixShare: 0.8,
};

const FOLLOW_UPS: ClassProfile = {
  class: classId("follow_ups"),
  firstTokenTarget: seconds(1.5),
  interactive: true,
  promptTokens: [100, 300],
  outputTokens: [30, 80],
  prefixShare: 0.8,
};

const SUMMARISING: ClassProfile = {
  class: classId("summarising"),
  firstTokenTarget: seconds(4),
  interactive: true,
  promptTokens: [1_000, 2_400],
  outputTokens: [80, 180],
  prefixShare: 0.2,
};

const MIX = [[DRAFTING, 0.5], [FOLLOW_UPS, 0.3], [SUMMARISING, 0.2]] as const;
const SHIFTED_ADAPTERS = 20;
const WARM_UP_ENDS = 60;
const SHIFT_AT = 150;
const RESTART_AT = 210;
const FAILURES_FROM = 270;
const FAILURES_UNTIL = 285;
const ENDS = 330;

/** How a Kauri Fresh workload is drawn. */
export interface KauriFreshOptions {
  readonly exponent: number;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly adapters?: number;
}

/**
 * Draws Kauri Fresh's day: callers wait live, and a popularity shift, a cold
 * engine restart and a burst of load failures come one after another.
 * @param options What to draw.
 * @returns The workload.
 */
export function kauriFreshWorkload(options: KauriFreshOptions): Workload {
  const { exponent, seed, requestsPerSecond, adapters = 3_000 } = options;
  const generator = new RequestGenerator(seed, { adapters, exponent });
  const steady = { requestsPerSecond, mix: MIX };
  const shift = instant(seconds(SHIFT_AT));
  const end = instant(seconds(ENDS));
  generator.arrive({ from: instant(0), until: shift, ...steady });
  generator.shiftPopularity(SHIFTED_ADAPTERS);
  generator.arrive({ from: shift, until: end, ...steady });
  return {
    name: `kauri-fresh zipf ${exponent}`,
    deployment: "kauri-fresh",
    exponent,
    seed,
    engines: ENGINES,
    store: { loadsPerSecond: 5, fullSpeedLoads: 2 },
    classes: [DRAFTING, FOLLOW_UPS, SUMMARISING],
    requests: generator.requests,
    incidents: [
      { kind: "popularity_shift", at: shift },
      {
        kind: "engine_restart",
        at: instant(seconds(RESTART_AT)),
        engine: engineId("engine-6"),
        downFor: seconds(5),
      },
      {
        kind: "load_failures",
        at: instant(seconds(FAILURES_FROM)),
        until: instant(seconds(FAILURES_UNTIL)),
        probability: 0.5,
      },
    ],
    measuredFrom: instant(seconds(WARM_UP_ENDS)),
    lastArrival: end,
  };
}
