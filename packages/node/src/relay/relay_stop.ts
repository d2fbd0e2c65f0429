import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
} from "@foxtailwind/core";

/**
 * How long a stopping node goes on taking requests at least: callers hold
 * its address for as long as the answer that named it may be used.
 */
export const ADDRESS_LIFETIME_SECONDS = 2;
const MINIMUM_SERVING_TIME = milliseconds(2 * ADDRESS_LIFETIME_SECONDS * 1_000);
/** Without a request for so long, a stopping node is no longer in use. */
const IDLE_TIME = milliseconds(500);
/** Before the end by force, what still runs is left to its end. */
const FINAL_ANSWER_TIME = milliseconds(250);
/** So long before the end by force, no new connections are taken. */
const LISTENER_CLOSE_TIME = milliseconds(2_000);

/**
 * So long after its begin, a stopping node takes whatever comes. Callers have
 * got other addresses by then, and whoever still comes can go elsewhere.
 */
const UNCONDITIONAL_ACCEPT_TIME = milliseconds(2_800);

/** A stop that was asked for. */
export interface PlannedStop {
  readonly begunAt: Instant;
  /** From the begin to the end by force. */
  readonly grace: Duration;
}

/**
 * Tells when a stopping node gives up whatever still runs.
 * @param stop The stop.
 * @returns The moment, which leaves time to answer before the end by force.
 */
export function lastMoment({ begunAt, grace }: PlannedStop): Instant {
  return later(begunAt, milliseconds(grace - FINAL_ANSWER_TIME));
}

/**
 * Decides whether a stopping node takes a request: later ones only if they
 * end in time at their latest.
 * @param now The present time.
 * @param stop The stop.
 * @param maximumDuration How long the request may take.
 * @returns Whether it is taken.
 */
export function isTakenWhileStopping(
  now: Instant,
  { begunAt, grace }: PlannedStop,
  maximumDuration: Duration,
): boolean {
  const age = elapsed(begunAt, now);
  return age <= UNCONDITIONAL_ACCEPT_TIME ||
    age + maximumDuration <= grace - FINAL_ANSWER_TIME;
}

/** What a stopping node does now. */
export type StopStep = "serve" | "close_door" | "end";

/**
 * Decides how far a planned stop has come.
 * @param now The present time.
 * @param stop When the stop began, how long it may take, and the work.
 * @returns What to do.
 */
export function nextStopStep(
  now: Instant,
  stop: PlannedStop & {
    readonly running: number;
    readonly lastRequestAt: Instant;
  },
): StopStep {
  const age = elapsed(stop.begunAt, now);
  if (age >= stop.grace - FINAL_ANSWER_TIME) return "end";
  const isIdle = stop.running === 0 && age >= MINIMUM_SERVING_TIME &&
    elapsed(stop.lastRequestAt, now) >= IDLE_TIME;
  if (isIdle) return "end";
  if (age < stop.grace - LISTENER_CLOSE_TIME) return "serve";
  return stop.running === 0 ? "end" : "close_door";
}
