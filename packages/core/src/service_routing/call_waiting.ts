import {
  type Duration,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";

/** What the wait for a place is estimated from. */
export interface WaitEstimate {
  /** How many calls wait. */
  readonly ahead: number;
  /** How many calls the servers take at once. */
  readonly limit: number;
  readonly typicalLatency: Duration;
}

/**
 * Estimates how long a new call would wait for a place.
 * @param estimate The calls ahead, and how fast places come free.
 * @returns The wait.
 */
export function expectedWait(estimate: WaitEstimate): Duration {
  const { ahead, limit, typicalLatency } = estimate;
  if (ahead === 0 || limit === 0) return milliseconds(0);
  return milliseconds(ahead * typicalLatency / limit);
}

/**
 * Tells how long a call may wait and still be answered within the target.
 * @param call The call.
 * @param likelyLongest What nearly all calls stay below at a server.
 * @returns The longest wait.
 */
export function longestWait(
  call: PendingCall,
  likelyLongest: Duration,
): Duration {
  const slack = call.terms.answerWithin - likelyLongest;
  return milliseconds(Math.max(0, slack));
}

/**
 * Tells until when a call waits for a place. One that has been attempted
 * waits until it is given up: a refusal could no longer say that it never ran.
 * @param call The call.
 * @param likelyLongest What nearly all calls stay below at a server.
 * @returns The end of its wait.
 */
export function waitsUntil(
  call: PendingCall,
  likelyLongest: Duration,
): Instant {
  if (call.attempts > 0) return call.deadline;
  return later(call.arrivedAt, longestWait(call, likelyLongest));
}
