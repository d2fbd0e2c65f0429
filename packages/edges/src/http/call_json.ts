import type { Failure, FailureStep } from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import {
  DEFAULT_TIMEOUT_MILLISECONDS,
  type HttpClientOptions,
} from "./client_options.ts";
import { exchange } from "./exchange.ts";
import { failureFromResponse, parseJson } from "./reported_failure.ts";

/** A request with a JSON body and a JSON response. */
export interface JsonCall<ResponseBody> {
  readonly step: FailureStep;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly responseSchema: z.ZodType<ResponseBody>;
  /** Time added to the client's timeout, for long polls. */
  readonly extraMilliseconds?: number;
}

const JSON_HEADERS = { "content-type": "application/json" } as const;

/** Accepts any response and discards its body. */
export const emptyResponseSchema: z.ZodType<void> = z.unknown().transform(
  () => undefined,
);

/**
 * Sends a JSON request to a peer and validates its response.
 * @param client The peer's connection.
 * @param call The request.
 * @returns The validated response body, or a failure.
 */
export async function callJson<ResponseBody>(
  client: HttpClientOptions,
  call: JsonCall<ResponseBody>,
): Promise<Result<ResponseBody, Failure>> {
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
  const parsed = call.responseSchema.safeParse(parseJson(body));
  if (parsed.success) return ok(parsed.data);
  return err({
    reason: "corrupt",
    step,
    peer,
    message: `Cannot read the answer: ${z.prettifyError(parsed.error)}`,
    outcome: "unknown",
  });
}
