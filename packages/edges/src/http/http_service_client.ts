import type { Failure, RunOutcome } from "@foxtailwind/core";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { Dispatcher } from "undici";
import {
  type Header,
  type ServiceAnswer,
  type ServiceCall,
  ServiceClient,
} from "../service_client.ts";
import { exchange, type ExchangeAnswer } from "./exchange.ts";

/** What the client of the plain services needs. */
export interface HttpServiceClientOptions {
  /** Carries the connections to all servers. */
  readonly dispatcher: Dispatcher;
}

/** A server answers with this header while it is leaving. */
export const LEAVING_HEADER = "foxtailwind-leaving";

/** A server may state by this header whether the call ran. */
export const OUTCOME_HEADER = "foxtailwind-outcome";

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** The edge to the plain services over HTTP. */
export class HttpServiceClient extends ServiceClient {
  readonly #options: HttpServiceClientOptions;

  /** @param options The connections. */
  constructor(options: HttpServiceClientOptions) {
    super();
    this.#options = options;
  }

  override async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const response = await exchange(this.#options.dispatcher, {
      step: "call_service",
      peer: call.server,
      origin: `http://${call.address}`,
      method: call.method,
      path: call.path,
      headers: toHeaderRecord(call.headers),
      ...(call.body.length === 0 ? {} : { body: call.body }),
      timeoutMilliseconds: call.timeoutMilliseconds,
      signal,
    });
    return response.map(toServiceResponse);
  }
}

function toServiceResponse(response: ExchangeAnswer): ServiceAnswer {
  const statedOutcome = parseOutcome(response.headers[OUTCOME_HEADER]);
  return {
    status: response.status,
    headers: toHeaderList(response.headers),
    body: response.body,
    leaving: response.headers[LEAVING_HEADER] !== undefined,
    ...(statedOutcome === undefined ? {} : { statedOutcome }),
  };
}

function parseOutcome(
  value: string | string[] | undefined,
): RunOutcome | undefined {
  return value === "not_run" || value === "unknown" || value === "ran"
    ? value
    : undefined;
}

/** Headers that concern one connection only do not pass on. */
function toHeaderRecord(
  headers: readonly Header[],
): Record<string, string | string[]> {
  const record: Record<string, string[]> = {};
  for (const { name, value } of headers) {
    const key = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(key)) continue;
    (record[key] ??= []).push(value);
  }
  return record;
}

function toHeaderList(headers: IncomingHttpHeaders): readonly Header[] {
  const connectionHeaders = parseConnectionHeader(headers.connection);
  return Object.entries(headers).flatMap(([name, value]) => {
    if (HOP_BY_HOP_HEADERS.has(name) && name !== "content-length") return [];
    if (connectionHeaders.has(name)) return [];
    const values = Array.isArray(value) ? value : [value ?? ""];
    return values.map((headerValue) => ({ name, value: headerValue }));
  });
}

/** `Connection` names further headers that concern one connection only. */
function parseConnectionHeader(value: string | undefined): ReadonlySet<string> {
  const tokens = (value ?? "").split(",");
  return new Set(tokens.map((token) => token.trim().toLowerCase()));
}
