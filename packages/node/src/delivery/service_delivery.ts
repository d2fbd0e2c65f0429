import type { Failure } from "@foxtailwind/core";
import type { Header, ServiceResponse } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { KeyedExecution } from "./keyed_execution.ts";

/** A caller's call to a plain service for which no server is chosen yet. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  /** The path and the query. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Sends a call to one server of its service, at most once. */
export abstract class ServiceCallRunner {
  /**
   * Sends a call once. Another server may be tried only if the first is proven
   * not to have run the call.
   * @param request The call.
   * @returns The answer, or a failure whose outcome states truthfully whether
   * the call ran.
   */
  abstract runOnce(
    request: ServiceRequest,
  ): Promise<Result<ServiceResponse, Failure>>;
}

const HANDLER_NAME = "service_call";
const KEY_HEADER = "idempotency-key";

const requestSchema = z.object({
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.array(z.object({ name: z.string(), value: z.string() })),
  body: z.string(),
});

const answerSchema = z.object({
  status: z.number().int(),
  headers: z.array(z.object({ name: z.string(), value: z.string() })),
  body: z.string(),
  leaving: z.boolean(),
});

/** Delivers calls that must not run twice to plain services. */
export class ServiceDelivery {
  readonly #execution: KeyedExecution;
  readonly #runner: ServiceCallRunner;

  /**
   * @param execution Runs keyed calls at most once.
   * @param runner Sends one call.
   */
  constructor(execution: KeyedExecution, runner: ServiceCallRunner) {
    this.#execution = execution;
    this.#runner = runner;
    execution.register(HANDLER_NAME, async (payload) => {
      const request = decodeRequest(payload);
      if (request === undefined) return err(unreadableMessage("not_run"));
      const answer = await runner.runOnce(request);
      return answer.andThen((received) => toKeyedResult(request, received));
    });
  }

  /**
   * Runs a call that must not run twice.
   * @param request The call.
   * @param key The `Idempotency-Key`; without one the call is sent once.
   * @returns The answer of the only run, or a failure with its known outcome.
   */
  async deliver(
    request: ServiceRequest,
    key: string | undefined,
  ): Promise<Result<ServiceResponse, Failure>> {
    if (key === undefined) return await this.#runner.runOnce(request);
    const answer = await this.#execution.execute({
      work: HANDLER_NAME,
      key,
      payload: encodeRequest(withKeyHeader(request, key)),
      identity: encodeIdentity(request),
    });
    return answer.andThen(decodeAnswer);
  }
}

/** Adds the key for the service, whose own check is a further safeguard. */
function withKeyHeader(request: ServiceRequest, key: string): ServiceRequest {
  const others = request.headers.filter((header) =>
    header.name.toLowerCase() !== KEY_HEADER
  );
  return {
    ...request,
    headers: [...others, { name: KEY_HEADER, value: key }],
  };
}

/** Fails if the server states that the call did not run, to free its key. */
function toKeyedResult(
  request: ServiceRequest,
  answer: ServiceResponse,
): Result<Uint8Array, Failure> {
  if (answer.statedOutcome !== "not_run") return ok(encodeAnswer(answer));
  return err({
    reason: "refused",
    step: "call_service",
    peer: request.service,
    message: `The service refused the call with status ${answer.status}.`,
    outcome: "not_run",
  });
}

/** Leaves out the headers, which may differ between a call and its retry. */
function encodeIdentity(request: ServiceRequest): Uint8Array {
  const { service, method, path, body } = request;
  return encode([service, method, path, toBase64(body)]);
}

function encodeRequest(request: ServiceRequest): Uint8Array {
  return encode({ ...request, body: toBase64(request.body) });
}

function decodeRequest(payload: Uint8Array): ServiceRequest | undefined {
  const parsed = requestSchema.safeParse(decode(payload));
  if (!parsed.success) return undefined;
  return { ...parsed.data, body: Buffer.from(parsed.data.body, "base64") };
}

function encodeAnswer(answer: ServiceResponse): Uint8Array {
  const { status, headers, leaving } = answer;
  return encode({ status, headers, leaving, body: toBase64(answer.body) });
}

function decodeAnswer(payload: Uint8Array): Result<ServiceResponse, Failure> {
  const parsed = answerSchema.safeParse(decode(payload));
  if (!parsed.success) return err(unreadableMessage("ran"));
  return ok({ ...parsed.data, body: Buffer.from(parsed.data.body, "base64") });
}

function toBase64(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString("base64");
}

function encode(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

function decode(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload).toString());
  } catch {
    return undefined;
  }
}

function unreadableMessage(outcome: Failure["outcome"]): Failure {
  return {
    reason: "corrupt",
    step: "call_service",
    peer: "node",
    message: "A message about a call cannot be read.",
    outcome,
  };
}
