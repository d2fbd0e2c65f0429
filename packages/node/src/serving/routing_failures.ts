import type { Failure, ModelId, NodeId } from "@foxtailwind/core";

const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Creates the failure of a request that could not be sent to an engine.
 * @param self This node.
 * @param message The cause.
 * @returns The failure.
 */
export function unroutableFailure(self: NodeId, message: string): Failure {
  return {
    reason: "unavailable",
    step: "route",
    peer: self,
    message,
    outcome: "not_run",
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * Creates the failure of a request whose model no engine runs.
 * @param self This node.
 * @param model The model.
 * @returns The failure.
 */
export function noEngineFailure(self: NodeId, model: ModelId): Failure {
  return unroutableFailure(self, `No engine runs ${model}.`);
}

/**
 * Creates the failure of a request whose caller disconnected before an engine
 * was found.
 * @param self This node.
 * @returns The failure.
 */
export function callerLeftFailure(self: NodeId): Failure {
  return {
    ...unroutableFailure(self, "The caller left."),
    reason: "cancelled",
  };
}

/**
 * Creates the failure of a request that no engine can answer within its target.
 * @param self This node.
 * @param retryAfter When the caller may retry, in milliseconds.
 * @returns The failure.
 */
export function targetUnreachableFailure(
  self: NodeId,
  retryAfter: number,
): Failure {
  return {
    ...unroutableFailure(
      self,
      "The class's target cannot be met now.",
    ),
    reason: "overloaded",
    step: "admit",
    retryAfterMilliseconds: Math.ceil(retryAfter),
  };
}
