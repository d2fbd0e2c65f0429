import type { Instant } from "../shared/mod.ts";

/** Why a request must not be written to a server's connection. */
export type SendObstacle = "caller_left" | "deadline_over";

/** What is known when a request is about to be written to a connection. */
export interface SendFacts {
  readonly hasCallerLeft: boolean;
  readonly deadline: Instant;
}

/**
 * Decides whether a request may still be written to a connection. It was placed
 * earlier, and has waited for a connection since.
 * @param now The present time.
 * @param facts What is known now.
 * @returns The obstacle, or `undefined` if there is none.
 */
export function findSendObstacle(
  now: Instant,
  { hasCallerLeft, deadline }: SendFacts,
): SendObstacle | undefined {
  if (hasCallerLeft) return "caller_left";
  return now >= deadline ? "deadline_over" : undefined;
}
