import type {
  Failure,
  FailureReason,
  FailureStep,
  RunOutcome,
} from "@foxtailwind/core";
import type { FailureMessage } from "@foxtailwind/protocol";

/**
 * Converts a failure to a message.
 * @param failure The failure.
 * @returns The message.
 */
export function toFailureMessage(failure: Failure): FailureMessage {
  return {
    reason: failure.reason,
    step: failure.step,
    peer: failure.peer,
    message: failure.message,
    outcome: failure.outcome,
    retryAfterMilliseconds: failure.retryAfterMilliseconds ?? 0,
  };
}

/**
 * Reads a failure from a message.
 * @param message The message.
 * @returns The failure.
 */
export function fromFailureMessage(message: FailureMessage): Failure {
  return {
    reason: message.reason as FailureReason,
    step: message.step as FailureStep,
    peer: message.peer,
    message: message.message,
    outcome: message.outcome as RunOutcome,
    ...(message.retryAfterMilliseconds > 0 &&
      { retryAfterMilliseconds: message.retryAfterMilliseconds }),
  };
}
