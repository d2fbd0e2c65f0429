import type { LoadLimits } from "./load_wish.ts";

/** Less than the whole, since others may still act on older permits. */
const CAUTION = 0.5;

/**
 * Works out what each engine's controller may load on its own while the
 * holder of the permits cannot be reached. All shares together stay below the
 * store's rate; a single engine loads one adapter at a time.
 * @param limits What the weight store allows.
 * @param engines How many engines load from the store.
 * @returns The share of one engine.
 */
export function staticShare(limits: LoadLimits, engines: number): LoadLimits {
  return {
    loadsPerSecond: CAUTION * limits.loadsPerSecond / Math.max(1, engines),
    concurrentLoads: 1,
  };
}
