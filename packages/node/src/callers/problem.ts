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

/** A problem that also has the members which chat-completions clients read. */
export interface ChatProblem extends Problem {
  readonly error: ChatError;
}

/** An error as chat-completions clients expect it, in answers and streams. */
export interface ChatError extends Problem {
  readonly message: string;
  readonly code: FailureReason;
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
 * Gives a failure as the error object of the chat-completions API.
 * @param failure The failure.
 * @param request The request's id, where there is one yet.
 * @returns The problem, with the members that its clients read.
 */
export function chatError(failure: Failure, request?: string): ChatError {
  return {
    message: failure.message,
    code: failure.reason,
    ...toProblem(failure, request),
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
  writeProblem(reply, failure, toProblem(failure, request));
}

/**
 * Answers a chat-completions client with problem details.
 * @param reply The answer to write.
 * @param failure The failure.
 * @param request The request's id.
 */
export function sendChatProblem(
  reply: FastifyReply,
  failure: Failure,
  request?: string,
): void {
  const problem = toProblem(failure, request);
  const error = chatError(failure, request);
  const chatProblem: ChatProblem = { ...problem, error };
  writeProblem(reply, failure, chatProblem);
}

/**
 * Writes problem details as the answer.
 * @param reply The answer to write.
 * @param failure The failure, which says when to come back.
 * @param problem What to write.
 */
export function writeProblem(
  reply: FastifyReply,
  failure: Failure,
  problem: Problem,
): void {
  if (reply.sent || reply.raw.headersSent || reply.raw.destroyed) return;
  const wait = failure.retryAfterMilliseconds;
  if (wait !== undefined) {
    void reply.header("retry-after", retryAfterSeconds(wait));
  }
  if (problem.request !== undefined) {
    void reply.header("x-request-id", problem.request);
  }
  void reply.status(problem.status)
    .header("content-type", "application/problem+json")
    .send(problem);
}

function retryAfterSeconds(milliseconds: number): string {
  return String(Math.max(1, Math.ceil(milliseconds / MILLISECONDS_PER_SECOND)));
}
