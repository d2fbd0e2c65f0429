import type { Failure, FailureReason } from "@foxtailwind/core";
import type { FastifyReply } from "fastify";

const STATUS_BY_REASON: Readonly<Record<FailureReason, number>> = {
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

/** Problem details (RFC 9457), with whether the request ran. */
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

/** A problem with the `error` member that chat-completions clients read. */
export interface ChatProblem extends Problem {
  readonly error: ChatError;
}

/** The error object of the chat-completions API, in bodies and streams. */
export interface ChatError extends Problem {
  readonly message: string;
  readonly code: FailureReason;
}

/**
 * Converts a failure to problem details.
 * @param failure The failure.
 * @param request The request's id, if already assigned.
 * @returns The problem.
 */
export function toProblem(failure: Failure, request?: string): Problem {
  return {
    type: `urn:foxtailwind:problem:${failure.reason}`,
    title: failure.reason.replaceAll("_", " "),
    status: STATUS_BY_REASON[failure.reason],
    detail: failure.message,
    outcome: failure.outcome,
    step: failure.step,
    peer: failure.peer,
    ...(request !== undefined && { request }),
  };
}

/**
 * Converts a failure to the error object of the chat-completions API.
 * @param failure The failure.
 * @param request The request's id, if already assigned.
 * @returns The error object.
 */
export function chatError(failure: Failure, request?: string): ChatError {
  return {
    message: failure.message,
    code: failure.reason,
    ...toProblem(failure, request),
  };
}

/**
 * Sends problem details with Retry-After if the failure has a delay.
 * @param reply The reply to write.
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
 * Sends problem details to a chat-completions client.
 * @param reply The reply to write.
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
 * Sends problem details unless the response was already sent.
 * @param reply The reply to write.
 * @param failure The failure, which may hold a retry delay.
 * @param problem The problem details.
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
