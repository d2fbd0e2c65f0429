import type { Failure } from "@foxtailwind/core";
import {
  type ArgumentsHost,
  Catch,
  type ExceptionFilter,
  HttpException,
} from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import type { ComponentLogger } from "../logging/component_logger.ts";
import {
  chatError,
  type ChatProblem,
  type Problem,
  toProblem,
  writeProblem,
} from "./problem.ts";

const INTERNAL_ERROR = 500;
const CHAT_PATHS = ["/v1/chat/", "/v1/models"];

/** Problem kinds of protocol-level errors, by HTTP status. */
const PROBLEM_KIND_BY_STATUS: ReadonlyMap<number, string> = new Map([
  [400, "malformed_request"],
  [404, "no_such_route"],
  [405, "method_not_allowed"],
  [408, "request_too_slow"],
  [413, "body_too_large"],
  [414, "path_too_long"],
  [415, "unsupported_content_type"],
  [431, "header_too_large"],
]);

/** Converts uncaught errors of controllers and Fastify to problem details. */
@Catch()
export class HttpProblemFilter implements ExceptionFilter {
  readonly #logger: ComponentLogger;

  constructor(logger: ComponentLogger) {
    this.#logger = logger;
  }

  catch(exception: unknown, host: ArgumentsHost): void {
    const http = host.switchToHttp();
    const request = http.getRequest<FastifyRequest>();
    const reply = http.getResponse<FastifyReply>();
    const status = statusOf(exception);
    if (status >= INTERNAL_ERROR) {
      this.#logger.error("A request met an unexpected error.", {
        path: request.url,
        error: exception instanceof Error
          ? exception.stack ?? exception.message
          : String(exception),
      });
    }
    const failure = toFailure(status, exception);
    writeProblem(reply, failure, buildProblem(request, { status, failure }));
  }
}

/**
 * Builds the problem details of a protocol-level error.
 * @param status The HTTP status of the response.
 * @param failure The failure.
 * @returns The problem.
 */
export function httpProblem(status: number, failure: Failure): Problem {
  const kind = PROBLEM_KIND_BY_STATUS.get(status) ?? "internal";
  return {
    ...toProblem(failure),
    type: `urn:foxtailwind:problem:${kind}`,
    title: kind.replaceAll("_", " "),
    status,
  };
}

function buildProblem(
  request: FastifyRequest,
  { status, failure }: { readonly status: number; readonly failure: Failure },
): Problem {
  const problem = httpProblem(status, failure);
  const isChat = CHAT_PATHS.some((path) => request.url.startsWith(path));
  if (!isChat) return problem;
  const error = { ...chatError(failure), ...problem };
  const chatProblem: ChatProblem = { ...problem, error };
  return chatProblem;
}

function statusOf(exception: unknown): number {
  if (exception instanceof HttpException) return exception.getStatus();
  if (typeof exception !== "object" || exception === null) {
    return INTERNAL_ERROR;
  }
  const { statusCode } = exception as { readonly statusCode?: unknown };
  return typeof statusCode === "number" ? statusCode : INTERNAL_ERROR;
}

function toFailure(status: number, exception: unknown): Failure {
  if (status >= INTERNAL_ERROR) {
    return {
      reason: "unavailable",
      step: "parse_request",
      peer: "self",
      message: "The node met an unexpected error.",
      outcome: "unknown",
    };
  }
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: exception instanceof Error ? exception.message : "Bad request.",
    outcome: "not_run",
  };
}
