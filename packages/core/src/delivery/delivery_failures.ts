import { type Duration, type Failure, milliseconds } from "../shared/mod.ts";

const INITIAL_BACKOFF_MILLISECONDS = 20;
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

/** The failure of a request that may have run when its caller left. */
export const CANCELLED_BY_CALLER: Failure = {
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
export function incompleteStream(message: string): Failure {
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
 * @param failureCount The number of failed attempts.
 * @param failure The last failure, which may request a minimum delay.
 * @returns The delay, at most one second.
 */
export function backoffDelay(failureCount: number, failure: Failure): Duration {
  const exponentialDelay = INITIAL_BACKOFF_MILLISECONDS *
    2 ** (failureCount - 1);
  const requestedDelay = failure.retryAfterMilliseconds ?? 0;
  return milliseconds(
    Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      Math.max(exponentialDelay, requestedDelay),
    ),
  );
}
