import type { Failure, FailureReason } from "@foxtailwind/core";
import type { FastifyReply } from "fastify";

const STATUS_OF_REASON: Readonly<Record<FailureReason, number>> = {
  invalid: 400,
  not_found: 404,
  conflict: 409,
  overloaded: 429,
  unavailable: 503,
  timeout: 504,
  cancelled: 499,
  fenced: 503,
  expired: 503,
  mismatch: 502,
  corrupt: 502,
  refused: 503,
};

const MILLISECONDS_PER_SECOND = 1_000;

/** An error as problem details (RFC 9457), with what is known of the run. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly outcome: Failure["outcome"];
  readonly step: Failure["step"];
  readonly peer: string;
  readonly request?: string;
}

/**
 * Gives a failure as problem details.
 * @param failure The failure.
 * @param request The request's id, where there is one yet.
 * @returns The problem.
 */
export function toProblem(failure: Failure, request?: string): Problem {
  return {
    type: `urn:foxtailwind:problem:${failure.reason}`,
    title: failure.reason.replaceAll("_", " "),
    status: STATUS_OF_REASON[failure.reason],
    detail: failure.message,
    outcome: failure.outcome,
    step: failure.step,
    peer: failure.peer,
    ...(request !== undefined && { request }),
  };
}

/**
 * Answers with problem details and, where it is known, Retry-After.
 * @param reply The answer to write.
 * @param failure The failure.
 * @param request The request's id.
 */
export function sendProblem(
  reply: FastifyReply,
  failure: Failure,
  request?: string,
): void {
  const problem = toProblem(failure, request);
  const wait = failure.retryAfterMilliseconds;
  if (wait !== undefined) {
    void reply.header(
      "retry-after",
      String(Math.ceil(wait / MILLISECONDS_PER_SECOND)),
    );
  }
  void reply.status(problem.status)
    .header("content-type", "application/problem+json")
    .send(problem);
}
