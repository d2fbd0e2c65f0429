import { type Duration, type Failure, milliseconds } from "../shared/mod.ts";

const FIRST_WAIT_MILLISECONDS = 20;
const LONGEST_WAIT_MILLISECONDS = 1_000;

/** The failure of a request whose caller left while it may have run. */
export const CANCELLED: Failure = {
  reason: "cancelled",
  step: "cancel",
  peer: "caller",
  message: "The caller left.",
  outcome: "unknown",
};

/**
 * Makes the failure of a stream that lacks tokens.
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
 * Gives a failure with what is known of all attempts together.
 * @param failure The last failure.
 * @param outcome What is known.
 * @returns The failure to answer with.
 */
export function withOutcome(
  failure: Failure,
  outcome: Failure["outcome"],
): Failure {
  return failure.outcome === outcome ? failure : { ...failure, outcome };
}

/**
 * Tells how long to wait before another attempt: twice as long each time.
 * @param failures How many attempts failed.
 * @param failure The last failure, which may state a wait.
 * @returns The wait.
 */
export function backOff(failures: number, failure: Failure): Duration {
  const doubled = FIRST_WAIT_MILLISECONDS * 2 ** (failures - 1);
  const stated = failure.retryAfterMilliseconds ?? 0;
  return milliseconds(
    Math.min(LONGEST_WAIT_MILLISECONDS, Math.max(doubled, stated)),
  );
}
