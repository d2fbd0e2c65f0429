import { classId, engineId, instant, seconds } from "@foxtailwind/core";
import { engineProfiles } from "./engine_profiles.ts";
import { RequestGenerator } from "./request_generator.ts";
import type { ClassProfile, Workload } from "./workload.ts";

const ENGINES = engineProfiles([
  { adapterSlots: 8, batchCapacity: 6, speed: 0.6 },
  { adapterSlots: 12, batchCapacity: 8, speed: 0.8 },
  { adapterSlots: 16, batchCapacity: 12, speed: 1 },
  { adapterSlots: 16, batchCapacity: 16, speed: 1 },
  { adapterSlots: 24, batchCapacity: 16, speed: 1.3 },
  { adapterSlots: 32, batchCapacity: 24, speed: 1.5 },
]);

const EXPLANATIONS: ClassProfile = {
  class: classId("explanations"),
  firstTokenTarget: seconds(1.5),
  interactive: true,
  promptTokens: [200, 500],
  outputTokens: [40, 100],
  prefixShare: 0.8,
};

const AGREEMENTS: ClassProfile = {
  class: classId("agreements"),
  firstTokenTarget: seconds(5),
  interactive: true,
  promptTokens: [2_000, 4_000],
  outputTokens: [100, 200],
  prefixShare: 0.1,
};

const BATCH_NOTES: ClassProfile = {
  class: classId("batch_notes"),
  firstTokenTarget: seconds(600),
  interactive: false,
  promptTokens: [300, 600],
  outputTokens: [60, 160],
  prefixShare: 0.8,
};

const DAY_MIX = [[EXPLANATIONS, 0.8], [AGREEMENTS, 0.2]] as const;
const BATCH_MIX = [[BATCH_NOTES, 1]] as const;
const SHIFTED_ADAPTERS = 20;
const BATCH_UNTIL = 120;
const BATCH_PER_SECOND = 25;
const WARM_UP_ENDS = 40;
const NIGHT_PER_SECOND = 2;
const RESTART_AT = 100;
const RUSH_FROM = 160;
const SHIFT_AT = 220;
const FAILURES_FROM = 270;
const FAILURES_UNTIL = 280;
const ENDS = 310;

/** How a Tidewell workload is drawn. */
export interface TidewellOptions {
  readonly exponent: number;
  readonly seed: number;
  /** The rate of interactive requests before the cut-off. */
  readonly rushPerSecond: number;
}

/**
 * Draws Tidewell's night and cut-off: batch notes come faster than they can
 * be written, then a rush of interactive work meets what is left of them.
 * @param options What to draw.
 * @returns The workload.
 */
export function tidewellWorkload(options: TidewellOptions): Workload {
  const { exponent, seed, rushPerSecond } = options;
  const generator = new RequestGenerator(seed, { adapters: 3_000, exponent });
  const shift = instant(seconds(SHIFT_AT));
  const rush = instant(seconds(RUSH_FROM));
  const end = instant(seconds(ENDS));
  const day = { requestsPerSecond: rushPerSecond, mix: DAY_MIX };
  generator.arrive({
    from: instant(0),
    until: instant(seconds(BATCH_UNTIL)),
    requestsPerSecond: BATCH_PER_SECOND,
    mix: BATCH_MIX,
  });
  generator.arrive({
    from: instant(0),
    until: rush,
    requestsPerSecond: NIGHT_PER_SECOND,
    mix: DAY_MIX,
  });
  generator.arrive({ from: rush, until: shift, ...day });
  generator.shiftPopularity(SHIFTED_ADAPTERS);
  generator.arrive({ from: shift, until: end, ...day });
  return {
    name: `tidewell zipf ${exponent}`,
    deployment: "tidewell",
    exponent,
    seed,
    engines: ENGINES,
    store: { loadsPerSecond: 7, fullSpeedLoads: 2 },
    classes: [EXPLANATIONS, AGREEMENTS, BATCH_NOTES],
    requests: generator.requests,
    incidents: [
      {
        kind: "engine_restart",
        at: instant(seconds(RESTART_AT)),
        engine: engineId("engine-4"),
        downFor: seconds(5),
      },
      { kind: "popularity_shift", at: shift },
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
