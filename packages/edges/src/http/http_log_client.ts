import { type Failure, type LogOffset, logOffset } from "@foxtailwind/core";
import type { Result } from "neverthrow";
import * as z from "zod";
import { LogClient, type LogPage } from "../log_client.ts";
import type { HttpClientOptions } from "./client_options.ts";
import { callJson } from "./call_json.ts";

const offsetSchema = z.number().int().nonnegative().transform(logOffset);
const appendResponseSchema = z.object({ offset: offsetSchema });
const pageSchema = z.object({
  records: z.array(z.object({ offset: offsetSchema, data: z.string() })),
  tail: offsetSchema,
  firstKept: offsetSchema,
});

/** HTTP client for the platform's log service. */
export class HttpLogClient extends LogClient {
  readonly #options: HttpClientOptions;

  /** @param options The service's address, connections and timeouts. */
  constructor(options: HttpClientOptions) {
    super();
    this.#options = options;
  }

  override async append(
    stream: string,
    data: readonly string[],
  ): Promise<Result<LogOffset, Failure>> {
    const response = await callJson(this.#options, {
      step: "append_log",
      method: "POST",
      path: recordsPath(stream),
      body: { records: data },
      responseSchema: appendResponseSchema,
    });
    return response.map(({ offset }) => offset);
  }

  override read(
    stream: string,
    options: {
      readonly from: LogOffset;
      readonly limit: number;
      readonly waitMilliseconds: number;
    },
  ): Promise<Result<LogPage, Failure>> {
    const { from, limit, waitMilliseconds } = options;
    const query = `from=${from}&limit=${limit}&wait=${waitMilliseconds}`;
    return callJson(this.#options, {
      step: "read_log",
      method: "GET",
      path: `${recordsPath(stream)}?${query}`,
      responseSchema: pageSchema,
      extraMilliseconds: waitMilliseconds,
    });
  }
}

function recordsPath(stream: string): string {
  return `/v1/streams/${encodeURIComponent(stream)}/records`;
}
