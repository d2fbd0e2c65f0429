import { type Duration, milliseconds } from "../shared/mod.ts";
import type { LoadLimits } from "./load_wish.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** What the wait for a permit is worked out from. */
export interface GrantQueue {
  /** Wishes that are at least as urgent. */
  readonly ahead: number;
  /** Permits that are out. */
  readonly outstanding: number;
  readonly limits: LoadLimits;
  readonly loadTime: Duration;
}

/**
 * Estimates the wait for a permit. Rate or concurrency, whichever is slower,
 * gives the time from one permit to the next.
 * @param queue What is ahead, and what the store allows.
 * @returns The wait.
 */
export function expectedGrantWait(queue: GrantQueue): Duration {
  const { loadsPerSecond, concurrentLoads } = queue.limits;
  const byRate = MILLISECONDS_PER_SECOND / loadsPerSecond;
  const byPlaces = queue.loadTime / concurrentLoads;
  const beyond = Math.max(0, queue.outstanding - concurrentLoads + 1);
  return milliseconds((queue.ahead + beyond / 2) * Math.max(byRate, byPlaces));
}
