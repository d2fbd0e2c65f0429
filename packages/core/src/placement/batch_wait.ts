import { type Duration, milliseconds } from "../shared/mod.ts";

/** The state of a batch from which the wait is estimated. */
export interface BatchState {
  /** Number of requests that this deployment may run in the batch. */
  readonly places: number;
  readonly running: number;
  /** Number of running requests that would be preempted. */
  readonly preemptible: number;
  /** Number of ready requests that are at least as urgent. */
  readonly ahead: number;
  /** Time from dispatch to the end of an answer. */
  readonly serviceTime: Duration;
}

/**
 * Estimates the wait until a batch can take a request, assuming that places
 * become free at a constant rate.
 * @param batch The state of the batch.
 * @returns The wait.
 */
export function expectedBatchWait(batch: BatchState): Duration {
  const free = batch.places - batch.running + batch.preemptible;
  if (batch.ahead < free) return milliseconds(0);
  const turns = (batch.ahead - Math.max(0, free) + 1) / batch.places;
  return milliseconds(turns * batch.serviceTime);
}
