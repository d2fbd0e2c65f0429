import { type Duration, milliseconds } from "../shared/mod.ts";
import type { LoadLimits } from "./load_wish.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** The state from which the wait for a permit is estimated. */
export interface PermitQueueState {
  /** Number of wishes that are at least as urgent. */
  readonly wishesAhead: number;
  /** Number of permits in use. */
  readonly outstanding: number;
  readonly limits: LoadLimits;
  readonly loadTime: Duration;
}

/**
 * Estimates the wait for a permit. The rate or the concurrency limit, whichever
 * is slower, determines the interval between permits.
 * @param queue The wishes and permits, and the limits of the weight store.
 * @returns The wait.
 */
export function expectedPermitWait(queue: PermitQueueState): Duration {
  const { loadsPerSecond, concurrentLoads } = queue.limits;
  const rateInterval = MILLISECONDS_PER_SECOND / loadsPerSecond;
  const concurrencyInterval = queue.loadTime / concurrentLoads;
  const excessPermits = Math.max(0, queue.outstanding - concurrentLoads + 1);
  return milliseconds(
    (queue.wishesAhead + excessPermits / 2) *
      Math.max(rateInterval, concurrencyInterval),
  );
}
