import { type Duration, type Failure, milliseconds } from "../shared/mod.ts";

const FIRST_WAIT_MILLISECONDS = 20;
const LONGEST_WAIT_MILLISECONDS = 1_000;

/** The failure of a request that may have run when its caller left. */
export const CANCELLED: Failure = {
  reason: "cancelled",
  step: "cancel",
  peer: "caller",
  message: "The caller left.",
  outcome: "unknown",
};

/**
 * Creates the failure of a stream with missing tokens.
 * @param message What is missing.
 * @returns The failure.
 */
export function incomplete(message: string): Failure {
  return {
    reason: "corrupt",
    step: "resume_stream",
    peer: "engine",
    message,
    outcome: "unknown",
  };
}

/**
 * Replaces the outcome of a failure by the combined outcome of all attempts.
 * @param failure The last failure.
 * @param outcome The combined outcome.
 * @returns The failure to send to the caller.
 */
export function withOutcome(
  failure: Failure,
  outcome: Failure["outcome"],
): Failure {
  return failure.outcome === outcome ? failure : { ...failure, outcome };
}

/**
 * Computes the exponential backoff before the next attempt, which doubles with
 * each failure.
 * @param failures The number of failed attempts.
 * @param failure The last failure, which may request a minimum delay.
 * @returns The delay, at most one second.
 */
export function backOff(failures: number, failure: Failure): Duration {
  const doubled = FIRST_WAIT_MILLISECONDS * 2 ** (failures - 1);
  const stated = failure.retryAfterMilliseconds ?? 0;
  return milliseconds(
    Math.min(LONGEST_WAIT_MILLISECONDS, Math.max(doubled, stated)),
  );
}
