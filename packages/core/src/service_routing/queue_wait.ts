import {
  type Duration,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";

/** The state from which the queue wait is estimated. */
export interface QueueState {
  /** Number of waiting calls. */
  readonly queued: number;
  /** Number of calls that the servers accept concurrently. */
  readonly concurrencyLimit: number;
  readonly medianLatency: Duration;
}

/**
 * Estimates how long a new call would wait in the queue.
 * @param queue The state of the queue.
 * @returns The wait.
 */
export function expectedWait(queue: QueueState): Duration {
  const {
    queued,
    concurrencyLimit,
    medianLatency,
  } = queue;
  if (queued === 0 || concurrencyLimit === 0) return milliseconds(0);
  return milliseconds(queued * medianLatency / concurrencyLimit);
}

/**
 * Computes how long a call may wait and still be answered within its target.
 * @param call The call.
 * @param highLatency The 95th percentile of latency at a server.
 * @returns The maximum wait.
 */
export function maximumWait(
  call: PendingCall,
  highLatency: Duration,
): Duration {
  const slack = call.timeLimits.targetLatency - highLatency;
  return milliseconds(Math.max(0, slack));
}

/**
 * Computes when a waiting call expires. A call that has been attempted waits
 * until its deadline, since a refusal could no longer state that it never ran.
 * @param call The call.
 * @param highLatency The 95th percentile of latency at a server.
 * @returns The end of the wait.
 */
export function waitDeadline(
  call: PendingCall,
  highLatency: Duration,
): Instant {
  if (call.attempts > 0) return call.deadline;
  return later(call.arrivedAt, maximumWait(call, highLatency));
}
