import type { IncomingMessage, ServerResponse } from "node:http";

/** What a refused caller may still send before its connection is closed. */
const MAXIMUM_DROPPED_BYTES = 1_048_576;
/** How long a refused caller may go on sending. */
const LINGER_MILLISECONDS = 1_000;

/**
 * Ends a response whose request is incomplete. What the caller still sends is
 * dropped for a moment before the connection is closed: closing it with unread
 * bytes would reset it, and the caller might lose the response.
 * @param message The request.
 * @param response The response, of which all but the end has been written.
 */
export function endAfterInput(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  let droppedBytes = 0;
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MILLISECONDS);
  message.on("data", (bytes: Buffer) => {
    droppedBytes += bytes.length;
    if (droppedBytes > MAXIMUM_DROPPED_BYTES) end();
  });
  message.once("end", end);
  message.once("close", end);
}
