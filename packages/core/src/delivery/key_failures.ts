import type { Failure } from "../shared/mod.ts";

/**
 * Makes the failure of a key whose run this node knows nothing of.
 * @param peer This node.
 * @returns The failure.
 */
export function forgotten(peer: string): Failure {
  return {
    reason: "expired",
    step: "claim_key",
    peer,
    message: "Whether the request ran is unknown; it will not run.",
    outcome: "unknown",
  };
}

/**
 * Makes the failure of a key whose scope cannot be used.
 * @param reason Whether it is over, or was never given out.
 * @param peer This node.
 * @returns The failure.
 */
export function badScope(
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
 * Makes the failure of a key that was used with another body.
 * @param peer This node.
 * @returns The failure.
 */
export function otherBody(peer: string): Failure {
  return {
    reason: "conflict",
    step: "claim_key",
    peer,
    message: "The key was used before with another body.",
    outcome: "not_run",
  };
}
