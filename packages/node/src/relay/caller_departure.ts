import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Checks whether a caller has ended its connection before its answer was
 * complete. The end of its side is seen before the response is closed.
 * @param message The caller's request.
 * @param response The response to it.
 * @returns Whether nobody waits for the answer.
 */
export function hasCallerLeft(
  message: IncomingMessage,
  response: ServerResponse,
): boolean {
  if (response.writableFinished) return false;
  return response.destroyed || message.socket.readableEnded;
}
