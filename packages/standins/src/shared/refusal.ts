import type { FailureReason, RunOutcome } from "@foxtailwind/core";
import type { ReportedFailure } from "@foxtailwind/edges";
import type { FastifyReply } from "fastify";

/** The optional fields of a refusal. */
export interface RefusalOptions {
  readonly outcome?: RunOutcome;
  readonly retryAfterMilliseconds?: number;
}

const HTTP_STATUS_BY_REASON: Readonly<Record<FailureReason, number>> = {
  invalid: 400,
  not_found: 404,
  conflict: 409,
  fenced: 409,
  expired: 409,
  mismatch: 409,
  cancelled: 409,
  overloaded: 429,
  corrupt: 500,
  refused: 503,
  unavailable: 503,
  timeout: 504,
};

/**
 * Creates a refusal. Its outcome is `not_run` by default.
 * @param reason The reason code.
 * @param message The description of the reason.
 * @param options The optional fields.
 * @returns The refusal.
 */
export function refusal(
  reason: FailureReason,
  message: string,
  options: RefusalOptions = {},
): ReportedFailure {
  const { retryAfterMilliseconds } = options;
  return {
    reason,
    message,
    outcome: options.outcome ?? "not_run",
    ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
  };
}

/**
 * Sends a refusal with the HTTP status of its reason.
 * @param reply The HTTP response.
 * @param failure The refusal.
 * @returns The reply, for a handler to return.
 */
export function sendRefusal(
  reply: FastifyReply,
  failure: ReportedFailure,
): FastifyReply {
  return reply.code(HTTP_STATUS_BY_REASON[failure.reason]).send(failure);
}
