import type { Failure, FailureStep } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import {
  DEFAULT_TIMEOUT_MILLISECONDS,
  type HttpClientOptions,
} from "./client_options.ts";
import { exchange } from "./exchange.ts";
import { failureFromResponse, parseJson } from "./stated_failure.ts";

/** A call that sends and receives JSON. */
export interface JsonCall<Answer> {
  readonly step: FailureStep;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly responseSchema: z.ZodType<Answer>;
  /** Time asked for beyond the client's usual limit. */
  readonly extraMilliseconds?: number;
}

const JSON_HEADERS = { "content-type": "application/json" } as const;

/** The answer of a call that gives nothing back. */
export const emptyResponseSchema: z.ZodType<void> = z.unknown().transform(
  () => undefined,
);

/**
 * Calls a peer with JSON and checks its answer against a schema.
 * @param client The peer.
 * @param call The call.
 * @returns The checked answer, or a failure.
 */
export async function callJson<Answer>(
  client: HttpClientOptions,
  call: JsonCall<Answer>,
): Promise<Result<Answer, Failure>> {
  const { step } = call;
  const { peer } = client;
  const timeout = client.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
  const response = await exchange(client.dispatcher, {
    step,
    peer,
    origin: client.baseAddress,
    method: call.method,
    path: call.path,
    ...(call.body === undefined
      ? {}
      : { headers: JSON_HEADERS, body: JSON.stringify(call.body) }),
    timeoutMilliseconds: timeout + (call.extraMilliseconds ?? 0),
  });
  if (response.isErr()) return err(response.error);
  const { status } = response.value;
  const body = response.value.body.toString();
  if (status < 200 || status > 299) {
    return err(failureFromResponse({ status, body }, { step, peer }));
  }
  const answer = call.responseSchema.safeParse(parseJson(body));
  if (answer.success) return ok(answer.data);
  return err({
    reason: "corrupt",
    step,
    peer,
    message: `Cannot read the answer: ${z.prettifyError(answer.error)}`,
    outcome: "unknown",
  });
}
