import type { Failure } from "@foxtailwind/core";
import type { FastifyReply, FastifyRequest } from "fastify";
import { sendProblem } from "./problem.ts";

/** Headers that affect how a request is handled and must not be repeated. */
const SINGLE_VALUE_HEADERS: ReadonlySet<string> = new Set([
  "content-type",
  "idempotency-key",
  "x-foxtailwind-class",
  "x-foxtailwind-tenant",
]);

/**
 * Rejects a request that repeats a single-value header, because one of the two
 * values would be dropped silently.
 * @param request The request.
 * @param reply The reply.
 * @param next Continues with the request.
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
  sendProblem(reply, repeatedHeaderFailure(repeated));
}

/**
 * Finds a single-value header that occurs more than once.
 * @param rawHeaders Alternating names and values, as in Node's `rawHeaders`.
 * @returns The header's name in lower case, or undefined.
 */
export function findRepeatedHeader(
  rawHeaders: readonly string[],
): string | undefined {
  let seen: string[] | undefined;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    if (!SINGLE_VALUE_HEADERS.has(name)) continue;
    if (seen?.includes(name) === true) return name;
    (seen ??= []).push(name);
  }
  return undefined;
}

function repeatedHeaderFailure(name: string): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: `Header ${name} may come only once.`,
    outcome: "not_run",
  };
}
