import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
} from "@foxtailwind/core";

/**
 * How long callers may use the addresses they are given. A stopping node keeps
 * accepting requests for longer, since callers may still hold its address.
 */
export const ADDRESS_LIFETIME_SECONDS = 2;
/** The minimum time for which a stopping node accepts requests. */
const MINIMUM_SERVING_TIME = milliseconds(2 * ADDRESS_LIFETIME_SECONDS * 1_000);
/** A stopping node without requests for this long is no longer in use. */
const IDLE_TIME = milliseconds(500);
/** The time reserved before the forced end to answer unfinished requests. */
const FINAL_ANSWER_TIME = milliseconds(250);
/** The time before the forced end from which no connections are accepted. */
const LISTENER_CLOSE_TIME = milliseconds(2_000);

/**
 * The time from the beginning of a stop within which callers receive other
 * addresses, and connect to them.
 */
const CALLER_NOTICE_TIME = milliseconds(2_800);

/** A requested stop. */
export interface PlannedStop {
  readonly begunAt: Instant;
  /** The time from the beginning to the forced end. */
  readonly grace: Duration;
}

/**
 * Determines when a stopping node abandons unfinished requests.
 * @param stop The stop.
 * @returns The time, early enough to answer them before the forced end.
 */
export function workDeadline({ begunAt, grace }: PlannedStop): Instant {
  return later(begunAt, milliseconds(grace - FINAL_ANSWER_TIME));
}

/**
 * Decides whether work that begins now ends before a stopping node abandons it.
 * @param now The present time.
 * @param stop The stop.
 * @param duration How long the work takes.
 * @returns Whether it ends in time.
 */
export function endsBeforeStop(
  now: Instant,
  stop: PlannedStop,
  duration: Duration,
): boolean {
  return later(now, duration) <= workDeadline(stop);
}

/** How long a request takes. */
export interface ExpectedDuration {
  /** What it hardly exceeds, by the requests before. */
  readonly expected: Duration;
  /** What it never exceeds. */
  readonly longest: Duration;
}

/**
 * Decides whether a stopping node accepts a request: what is expected to end in
 * time, and once callers use other nodes, only what certainly does.
 * @param now The present time.
 * @param stop The stop.
 * @param duration How long the request takes.
 * @returns Whether it is accepted.
 */
export function isAcceptedWhileStopping(
  now: Instant,
  stop: PlannedStop,
  { expected, longest }: ExpectedDuration,
): boolean {
  const isNoticed = elapsed(stop.begunAt, now) > CALLER_NOTICE_TIME;
  return endsBeforeStop(now, stop, isNoticed ? longest : expected);
}

/** The next action of a stopping node. */
export type StopStep = "serve" | "close_door" | "end";

/**
 * Decides the next action of a planned stop.
 * @param now The present time.
 * @param stop The stop, the requests in progress and the last request's time.
 * @returns The next action.
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
