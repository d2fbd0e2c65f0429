import type { Failure } from "../shared/mod.ts";

/**
 * Creates the failure of a key whose run is unknown to this node.
 * @param peer This node.
 * @returns The failure.
 */
export function unknownRun(peer: string): Failure {
  return {
    reason: "expired",
    step: "claim_key",
    peer,
    message: "Whether the request ran is unknown; it will not run.",
    outcome: "unknown",
  };
}

/**
 * Creates the failure of a key with an unusable scope.
 * @param reason Whether the scope has expired or was never issued.
 * @param peer This node.
 * @returns The failure.
 */
export function invalidScope(
  reason: "expired" | "invalid",
  peer: string,
): Failure {
  return {
    reason,
    step: "claim_key",
    peer,
    message: "The key's scope is not valid now; the request will not run.",
    outcome: "unknown",
  };
}

/**
 * Creates the failure of a key that was used with a different body.
 * @param peer This node.
 * @returns The failure.
 */
export function bodyMismatch(peer: string): Failure {
  return {
    reason: "conflict",
    step: "claim_key",
    peer,
    message: "The key was used before with another body.",
    outcome: "not_run",
  };
}
