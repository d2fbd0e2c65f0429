import type { Failure } from "@foxtailwind/core";
import type { FastifyReply, FastifyRequest } from "fastify";
import { sendProblem } from "./problem.ts";

/** Headers that decide about a request, and so may come once at most. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  "content-type",
  "idempotency-key",
  "x-foxtailwind-class",
  "x-foxtailwind-tenant",
]);

/**
 * Refuses a request in which a deciding header comes twice: one of the two
 * values would be lost without a word.
 * @param request The request.
 * @param reply Its answer.
 * @param next Goes on with the request.
 */
export function refuseRepeatedHeaders(
  request: FastifyRequest,
  reply: FastifyReply,
  next: () => void,
): void {
  const repeated = findRepeatedHeader(request.raw.rawHeaders);
  if (repeated === undefined) {
    next();
    return;
  }
  sendProblem(reply, repeatedHeader(repeated));
}

/**
 * Finds a deciding header that comes more than once.
 * @param rawHeaders Names and values in turn, as Node gives them.
 * @returns The header's name in lower case, or nothing.
 */
export function findRepeatedHeader(
  rawHeaders: readonly string[],
): string | undefined {
  let seen: string[] | undefined;
  for (let place = 0; place < rawHeaders.length; place += 2) {
    const name = (rawHeaders[place] ?? "").toLowerCase();
    if (!SINGLE_HEADERS.has(name)) continue;
    if (seen?.includes(name) === true) return name;
    (seen ??= []).push(name);
  }
  return undefined;
}

function repeatedHeader(name: string): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: `Header ${name} may come only once.`,
    outcome: "not_run",
  };
}
