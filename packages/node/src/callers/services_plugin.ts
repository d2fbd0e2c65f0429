import { type Failure, type RequestId, requestId } from "@foxtailwind/core";
import type { ServiceResponse } from "@foxtailwind/edges";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { DaemonParts } from "../daemon_parts.ts";
import type { ServiceRequest } from "../delivery/mod.ts";
import { sendProblem, toProblem } from "./problem.ts";
import {
  forwardedRequestHeaders,
  forwardedResponseHeaders,
} from "./forwarded_headers.ts";

interface HttpExchange {
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
}

const PREFIX = "/v1/services/";
const BODY_LIMIT_BYTES = 8 * 1_024 * 1_024;
const KEY_HEADER = "idempotency-key";
const NOT_REPEATABLE_HEADER = "x-foxtailwind-not-repeatable";
const CONTENT_TOO_LARGE = 413;
const BAD_REQUEST = 400;

/**
 * Proxies calls to the plain services. It is a separate plugin because it
 * forwards bodies of any type byte for byte, while the controllers get parsed
 * JSON.
 * @param parts The daemon's running parts.
 * @returns The plugin, to be registered with Fastify.
 */
export function servicesPlugin(
  parts: DaemonParts,
): (scope: FastifyInstance) => Promise<void> {
  return (scope) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser(
      "*",
      { parseAs: "buffer", bodyLimit: BODY_LIMIT_BYTES },
      (_request, body, done) => {
        done(null, body);
      },
    );
    scope.setErrorHandler((error, _request, reply) => {
      sendUnreadable(reply, error);
    });
    scope.all(`${PREFIX}:service`, async (request, reply) => {
      await serve(parts, request, reply);
    });
    scope.all(`${PREFIX}:service/*`, async (request, reply) => {
      await serve(parts, request, reply);
    });
    return Promise.resolve();
  };
}

async function serve(
  parts: DaemonParts,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<void> {
  const id = requestId(randomUUID());
  const answer = await call(parts, id, { request, reply });
  if (reply.raw.destroyed) {
    reply.hijack();
    return;
  }
  if (answer.isErr()) sendProblem(reply, answer.error, id);
  else sendAnswer(reply, answer.value, request.method);
}

/** Bypasses Fastify, which adds a content type if the service sent none. */
function sendAnswer(
  reply: FastifyReply,
  { status, headers, body }: ServiceResponse,
  method: string,
): void {
  reply.hijack();
  for (const { name, value } of forwardedResponseHeaders(headers, method)) {
    reply.raw.appendHeader(name, value);
  }
  reply.raw.statusCode = status;
  reply.raw.end(body);
}

async function call(
  parts: DaemonParts,
  id: RequestId,
  { request, reply }: HttpExchange,
): Promise<Result<ServiceResponse, Failure>> {
  const routed = toServiceRequest(request);
  const key = request.headers[KEY_HEADER];
  if (typeof key === "string") {
    return await parts.serviceDelivery.deliver(routed, key);
  }
  return await parts.serviceDispatcher.call(routed, {
    id,
    repeatable: request.headers[NOT_REPEATABLE_HEADER] !== "true",
    signal: abortOnClose(reply),
  });
}

function toServiceRequest(request: FastifyRequest): ServiceRequest {
  const url = request.url.slice(PREFIX.length);
  const nameLength = url.search(/[/?]|$/);
  const rest = url.slice(nameLength);
  return {
    service: decodeURIComponent(url.slice(0, nameLength)),
    method: request.method,
    path: rest.startsWith("/") ? rest : `/${rest}`,
    headers: forwardedRequestHeaders(request.raw.rawHeaders),
    body: request.body instanceof Uint8Array ? request.body : new Uint8Array(),
  };
}

/** Aborts when the caller's connection closes before the response is sent. */
function abortOnClose(reply: FastifyReply): AbortSignal {
  const abort = new AbortController();
  reply.raw.once("close", () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort.signal;
}

function sendUnreadable(reply: FastifyReply, error: unknown): void {
  const failure: Failure = {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: error instanceof Error ? error.message : String(error),
    outcome: "not_run",
  };
  const status = statusOf(error);
  void reply.status(status)
    .header("content-type", "application/problem+json")
    .send({ ...toProblem(failure), status });
}

function statusOf(error: unknown): number {
  const isObject = typeof error === "object" && error !== null;
  if (!isObject || !("statusCode" in error)) return BAD_REQUEST;
  return error.statusCode === CONTENT_TOO_LARGE
    ? CONTENT_TOO_LARGE
    : BAD_REQUEST;
}
