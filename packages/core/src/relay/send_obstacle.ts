import type { Instant } from "../shared/mod.ts";

/** Why a request must not be written to a server's connection. */
export type SendObstacle =
  | "caller_left"
  | "deadline_over"
  /** The server is leaving or gone. */
  | "server_leaves";

/** What is known when a request is about to be written to a connection. */
export interface SendFacts {
  readonly hasCallerLeft: boolean;
  readonly deadline: Instant;
  /** Whether the server is present and doesn't leave. */
  readonly isServerPresent: boolean;
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
  { hasCallerLeft, deadline, isServerPresent }: SendFacts,
): SendObstacle | undefined {
  if (hasCallerLeft) return "caller_left";
  if (now >= deadline) return "deadline_over";
  return isServerPresent ? undefined : "server_leaves";
}
