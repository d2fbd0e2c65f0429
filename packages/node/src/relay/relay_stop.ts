import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "@foxtailwind/core";

/**
 * How long a stopping node goes on taking requests at least: callers hold
 * its address for as long as the answer that named it may be used.
 */
export const ADDRESS_LIFETIME_SECONDS = 2;
const LEAST_SERVING = milliseconds(2 * ADDRESS_LIFETIME_SECONDS * 1_000);
/** Without a request for so long, a stopping node is no longer in use. */
const QUIET_TIME = milliseconds(500);
/** Before the end by force, what still runs is left to its end. */
const LAST_MOMENT = milliseconds(250);
/** So long before the end by force, no new connections are taken. */
const CLOSING_TIME = milliseconds(2_000);

/** What a stopping node does now. */
export type StopStep = "serve" | "close_door" | "end";

/**
 * Decides how far a planned stop has come.
 * @param now The present time.
 * @param stop When the stop began, how long it may take, and the work.
 * @returns What to do.
 */
export function stopStep(now: Instant, stop: {
  readonly begunAt: Instant;
  readonly grace: Duration;
  readonly running: number;
  readonly lastRequestAt: Instant;
}): StopStep {
  const age = elapsed(stop.begunAt, now);
  if (age >= stop.grace - LAST_MOMENT) return "end";
  const isUnused = stop.running === 0 && age >= LEAST_SERVING &&
    elapsed(stop.lastRequestAt, now) >= QUIET_TIME;
  if (isUnused) return "end";
  if (age < stop.grace - CLOSING_TIME) return "serve";
  return stop.running === 0 ? "end" : "close_door";
}
