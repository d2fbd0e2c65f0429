import type { Duration, Instant } from "../shared/mod.ts";

/** Why a request must not be written to a server's connection. */
export type SendObstacle =
  | "caller_left"
  | "deadline_over"
  /** The server is leaving or gone. */
  | "server_leaves"
  /** The server wants no requests from this node for a while. */
  | "server_backoff";

/** What is known when a request is about to be written to a connection. */
export interface SendFacts {
  readonly hasCallerLeft: boolean;
  readonly deadline: Instant;
  /** Whether the server is present and doesn't leave. */
  readonly isServerPresent: boolean;
  /** How long the server still wants no requests; 0 if it wants some. */
  readonly backoff: Duration;
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
  { hasCallerLeft, deadline, isServerPresent, backoff }: SendFacts,
): SendObstacle | undefined {
  if (hasCallerLeft) return "caller_left";
  if (now >= deadline) return "deadline_over";
  if (!isServerPresent) return "server_leaves";
  return backoff > 0 ? "server_backoff" : undefined;
}
