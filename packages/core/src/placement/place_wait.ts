import { type Duration, milliseconds } from "../shared/mod.ts";

/** What the wait for a place in a batch is worked out from. */
export interface BatchUse {
  /** The places that this deployment's requests may take. */
  readonly places: number;
  readonly running: number;
  /** Running requests that would give way. */
  readonly yielding: number;
  /** Ready requests at least as urgent. */
  readonly ahead: number;
  /** From dispatch to the end of an answer. */
  readonly serviceTime: Duration;
}

/**
 * Estimates the wait for a place in a batch.
 * @param use How the batch is used.
 * @returns The wait: places free up one after another, evenly.
 */
export function placeWait(use: BatchUse): Duration {
  const free = use.places - use.running + use.yielding;
  if (use.ahead < free) return milliseconds(0);
  const turns = (use.ahead - Math.max(0, free) + 1) / use.places;
  return milliseconds(turns * use.serviceTime);
}
