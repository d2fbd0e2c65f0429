import type { Failure } from "@foxtailwind/core";
import type { Socket } from "node:net";
import { httpProblem } from "./http_problem_filter.ts";

const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;
const HEADER_TOO_LARGE = 431;

const STATUS_BY_ERROR_CODE: ReadonlyMap<string, number> = new Map([
  ["HPE_HEADER_OVERFLOW", HEADER_TOO_LARGE],
  ["ERR_HTTP_REQUEST_TIMEOUT", REQUEST_TIMEOUT],
]);

const STATUS_TEXT: ReadonlyMap<number, string> = new Map([
  [BAD_REQUEST, "Bad Request"],
  [REQUEST_TIMEOUT, "Request Timeout"],
  [HEADER_TOO_LARGE, "Request Header Fields Too Large"],
]);

/**
 * Responds to a request that cannot be parsed, is too slow or has too large a
 * header, and closes the connection, because the start of the next request is
 * unknown.
 * @param error The HTTP parser's error.
 * @param socket The caller's connection.
 */
export function answerUnreadable(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_ERROR_CODE.get(error.code ?? "") ?? BAD_REQUEST;
  const body = JSON.stringify(
    httpProblem(status, unreadableRequestFailure(error.code)),
  );
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_TEXT.get(status) ?? ""}\r\n` +
      "content-type: application/problem+json\r\n" +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}

function unreadableRequestFailure(code: string | undefined): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: `The request cannot be read (${code ?? "no code"}).`,
    outcome: "not_run",
  };
}
