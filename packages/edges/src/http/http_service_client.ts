import type { Failure, RunOutcome } from "@foxtailwind/core";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { Dispatcher } from "undici";
import {
  type Header,
  type ServiceCall,
  ServiceClient,
  type ServiceResponse,
} from "../service_client.ts";
import { exchange, type ExchangeResponse } from "./exchange.ts";

/** Options of the client of the plain services. */
export interface HttpServiceClientOptions {
  /** Manages the connections to all servers. */
  readonly dispatcher: Dispatcher;
}

/** The response header of a server that is leaving. */
export const LEAVING_HEADER = "foxtailwind-leaving";

/** The response header by which a server may report whether the call ran. */
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

/** HTTP client for the plain services. */
export class HttpServiceClient extends ServiceClient {
  readonly #options: HttpServiceClientOptions;

  /** @param options The connections to the servers. */
  constructor(options: HttpServiceClientOptions) {
    super();
    this.#options = options;
  }

  override async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, Failure>> {
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

function toServiceResponse(response: ExchangeResponse): ServiceResponse {
  const outcome = parseOutcome(response.headers[OUTCOME_HEADER]);
  return {
    status: response.status,
    headers: toHeaderList(response.headers),
    body: response.body,
    leaving: response.headers[LEAVING_HEADER] !== undefined,
    ...(outcome === undefined ? {} : { statedOutcome: outcome }),
  };
}

function parseOutcome(
  value: string | string[] | undefined,
): RunOutcome | undefined {
  return value === "not_run" || value === "unknown" || value === "ran"
    ? value
    : undefined;
}

/** Drops the hop-by-hop headers, which are not forwarded. */
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

/** Returns the further hop-by-hop headers that `Connection` lists. */
function parseConnectionHeader(value: string | undefined): ReadonlySet<string> {
  const tokens = (value ?? "").split(",");
  return new Set(tokens.map((token) => token.trim().toLowerCase()));
}
