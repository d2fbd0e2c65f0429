import type { LoadLimits } from "./load_wish.ts";

/** Below 1, since other engines may still use earlier permits. */
const SAFETY_FACTOR = 0.5;

/**
 * Computes the limits for each engine's controller while the node that grants
 * permits is unreachable. The sum of all shares stays below the store's rate; a
 * single engine loads one adapter at a time.
 * @param limits The limits of the weight store.
 * @param engines Number of engines that load from the store.
 * @returns The share of one engine.
 */
export function staticShare(limits: LoadLimits, engines: number): LoadLimits {
  return {
    loadsPerSecond: SAFETY_FACTOR * limits.loadsPerSecond /
      Math.max(1, engines),
    concurrentLoads: 1,
  };
}
