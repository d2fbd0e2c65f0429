import type {
  AttemptNumber,
  Failure,
  FailureStep,
  RequestId,
} from "@foxtailwind/core";
import type { Result } from "neverthrow";
import {
  type CacheEvent,
  EngineClient,
  type EngineLoadReport,
  type EngineOrder,
  type EngineState,
  type ExportedKvCache,
  type GenerateCall,
  type GenerationHandle,
  type GenerationSink,
} from "../engine_client.ts";
import type { HttpClientOptions } from "./client_options.ts";
import {
  cacheEventsSchema,
  cancelResponseSchema,
  engineLoadReportSchema,
  engineStateSchema,
  exportedKvCacheSchema,
} from "./engine_schemas.ts";
import { GenerationExchange } from "./generation_exchange.ts";
import { callJson, emptyResponseSchema } from "./call_json.ts";

/** Options of the client of one engine. */
export interface HttpEngineClientOptions extends HttpClientOptions {
  /** A stream fails if no byte arrives for this long. */
  readonly idleTimeoutMilliseconds?: number;
  /** How long a stream may continue after its cancellation was answered. */
  readonly cancelGraceMilliseconds?: number;
  /** How long an order may take, including a load from the weight store. */
  readonly orderTimeoutMilliseconds?: number;
}

const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 30_000;
const DEFAULT_CANCEL_GRACE_MILLISECONDS = 2_000;
const DEFAULT_ORDER_TIMEOUT_MILLISECONDS = 60_000;

/** HTTP client for one model engine. */
export class HttpEngineClient extends EngineClient {
  readonly #options: HttpEngineClientOptions;

  /** @param options The engine's address, connections and timeouts. */
  constructor(options: HttpEngineClientOptions) {
    super();
    this.#options = options;
  }

  override generate(
    call: GenerateCall,
    sink: GenerationSink,
  ): GenerationHandle {
    const generation = new GenerationExchange(call, sink, {
      client: this.#options,
      idleTimeoutMilliseconds: this.#options.idleTimeoutMilliseconds ??
        DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      cancelGraceMilliseconds: this.#options.cancelGraceMilliseconds ??
        DEFAULT_CANCEL_GRACE_MILLISECONDS,
      askToCancel: () => this.cancel(call.request, call.attempt),
    });
    generation.start();
    return generation;
  }

  override async cancel(
    request: RequestId,
    attempt: AttemptNumber,
  ): Promise<Result<boolean, Failure>> {
    const response = await callJson(this.#options, {
      step: "cancel",
      method: "POST",
      path: "/v1/cancel",
      body: { request, attempt },
      responseSchema: cancelResponseSchema,
    });
    return response.map(({ cancelled }) => cancelled);
  }

  override sendOrder(order: EngineOrder): Promise<Result<void, Failure>> {
    return callJson({
      ...this.#options,
      timeoutMilliseconds: this.#options.orderTimeoutMilliseconds ??
        DEFAULT_ORDER_TIMEOUT_MILLISECONDS,
    }, {
      step: stepForOrder(order),
      method: "POST",
      path: "/v1/orders",
      body: order,
      responseSchema: emptyResponseSchema,
    });
  }

  override readState(): Promise<Result<EngineState, Failure>> {
    return callJson(this.#options, {
      step: "read_engine",
      method: "GET",
      path: "/v1/state",
      responseSchema: engineStateSchema,
    });
  }

  override readLoad(): Promise<Result<EngineLoadReport, Failure>> {
    return callJson(this.#options, {
      step: "read_engine",
      method: "GET",
      path: "/v1/load",
      responseSchema: engineLoadReportSchema,
    });
  }

  override async readCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], Failure>> {
    const response = await callJson(this.#options, {
      step: "read_engine",
      method: "GET",
      path: `/v1/cache-events?after=${after}`,
      responseSchema: cacheEventsSchema,
    });
    return response.map(({ events }) => events);
  }

  override exportKvCache(
    request: RequestId,
  ): Promise<Result<ExportedKvCache, Failure>> {
    return callJson(this.#options, {
      step: "hand_over",
      method: "GET",
      path: `/v1/kv-cache?request=${encodeURIComponent(request)}`,
      responseSchema: exportedKvCacheSchema,
    });
  }

  override importKvCache(
    cache: ExportedKvCache,
  ): Promise<Result<void, Failure>> {
    return callJson(this.#options, {
      step: "hand_over",
      method: "POST",
      path: "/v1/kv-cache",
      body: cache,
      responseSchema: emptyResponseSchema,
    });
  }
}

function stepForOrder(order: EngineOrder): FailureStep {
  switch (order.kind) {
    case "load_adapter":
      return "load_adapter";
    case "evict_adapter":
      return "evict_adapter";
    case "load_model":
    case "change_role":
      return "dispatch";
  }
}
