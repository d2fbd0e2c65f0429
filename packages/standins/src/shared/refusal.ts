import type { FailureReason, RunOutcome } from "@foxtailwind/core";
import type { StatedFailure } from "@foxtailwind/edges";
import type { FastifyReply } from "fastify";

/** Parts of a refusal that have defaults. */
export interface RefusalOptions {
  readonly outcome?: RunOutcome;
  readonly retryAfterMilliseconds?: number;
}

const STATUS_BY_REASON: Readonly<Record<FailureReason, number>> = {
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
 * Makes a refusal, which by default states that nothing ran.
 * @param reason Why.
 * @param message The reason in words.
 * @param options Parts that differ from the defaults.
 * @returns The refusal.
 */
export function refusal(
  reason: FailureReason,
  message: string,
  options: RefusalOptions = {},
): StatedFailure {
  const { retryAfterMilliseconds } = options;
  return {
    reason,
    message,
    outcome: options.outcome ?? "not_run",
    ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
  };
}

/**
 * Answers with a refusal.
 * @param reply The answer to send.
 * @param failure The refusal.
 * @returns The reply, for a handler to return.
 */
export function sendRefusal(
  reply: FastifyReply,
  failure: StatedFailure,
): FastifyReply {
  return reply.code(STATUS_BY_REASON[failure.reason]).send(failure);
}
