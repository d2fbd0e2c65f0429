import type {
  AdapterReference,
  AttemptNumber,
  EngineId,
  Failure,
  FencingNumber,
  ModelId,
  RequestId,
} from "@foxtailwind/core";
export type { AdapterReference };
import type { Result } from "neverthrow";

/** One message of the conversation to continue. */
export interface PromptMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

/** A request for generation, as sent to an engine. */
export interface GenerateCall {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly model: ModelId;
  readonly adapter: AdapterReference;
  readonly messages: readonly PromptMessage[];
  readonly maximumTokens: number;
  /**
   * A higher priority goes first in the engine's batch. The value is derived,
   * never configured.
   */
  readonly priority: number;
  /** The first requested sequence: 0, or the next one if a stream resumes. */
  readonly fromSequence: number;
}

/** Consecutive tokens of a generation that start at `sequence`. */
export interface GenerationFrame {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly sequence: number;
  readonly tokens: readonly string[];
  /** The adapter that the engine used; a mismatch is never passed on. */
  readonly adapter: AdapterReference;
}

/** How a generation ended. */
export interface GenerationEnd {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly finishReason: "stop" | "length" | "cancelled";
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedPromptTokens: number;
}

/** Receives a generation. It is called from the event loop, in order. */
export abstract class GenerationSink {
  /** @param frame The next frame, unchanged. */
  abstract onFrame(frame: GenerationFrame): void;
  /** @param result The end; reported exactly once, after the last frame. */
  abstract onEnd(result: Result<GenerationEnd, Failure>): void;
}

/** Controls a generation in progress. */
export interface GenerationHandle {
  /** Stops reading from the engine, so that it sees backpressure. */
  pause(): void;
  /** Continues reading after {@link pause}. */
  unpause(): void;
  /** Cancels the generation; the sink still receives its end. */
  cancel(): void;
}

interface OrderBase {
  /** Fences off orders of earlier controllers; some engines ignore it. */
  readonly fencing: FencingNumber;
  /** The time after which the engine must not execute the order. */
  readonly expiresInMilliseconds: number;
}

/** An order that changes an engine's state. */
export type EngineOrder =
  | (OrderBase & {
    readonly kind: "load_adapter";
    readonly adapter: AdapterReference;
  })
  | (OrderBase & {
    readonly kind: "evict_adapter";
    readonly adapter: AdapterReference;
  })
  | (OrderBase & { readonly kind: "load_model"; readonly model: ModelId })
  | (OrderBase & {
    readonly kind: "change_role";
    readonly role: EngineRole;
  });

/** The phases of generation that an engine runs. */
export type EngineRole = "both" | "prefill" | "decode";

/** An engine's state, as reported by the engine. */
export interface EngineState {
  readonly engine: EngineId;
  /** Changes at every restart of the engine. */
  readonly bootId: string;
  readonly model: ModelId;
  readonly role: EngineRole;
  readonly adapterSlots: number;
  readonly batchCapacity: number;
  readonly resident: readonly AdapterReference[];
  readonly loading: readonly AdapterReference[];
  readonly running: readonly RunningGeneration[];
  /** The highest fencing number seen; absent where the engine ignores it. */
  readonly highestFencing?: FencingNumber;
  readonly leaving: boolean;
}

/** A generation in progress at an engine. */
export interface RunningGeneration {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly adapter: AdapterReference;
  /** The number of tokens generated so far. */
  readonly generated: number;
}

/** An engine's load, measured some time ago. */
export interface EngineLoadReport {
  readonly engine: EngineId;
  readonly bootId: string;
  readonly running: number;
  readonly waiting: number;
  readonly stepMilliseconds: number;
  /** The mean fill of the batch over the last report interval, 0 to 1. */
  readonly batchFill: number;
  readonly prefixCacheUsed: number;
  /** The age of the figures when the engine sent them. */
  readonly ageMilliseconds: number;
}

/** A change of the engine's prefix cache, published late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly adapter: AdapterReference;
  /** Identifies the prompt prefix; the same text gives the same hash. */
  readonly prefixHash: string;
}

/** A KV cache, exported from one engine for import into another. */
export interface ExportedKvCache {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly data: string;
}

/** Client for one model engine. */
export abstract class EngineClient {
  /**
   * Starts or resumes a generation.
   * @param call The request for generation.
   * @param sink Receives the frames and the end.
   * @returns The handle that controls the generation.
   */
  abstract generate(call: GenerateCall, sink: GenerationSink): GenerationHandle;

  /**
   * Cancels a generation, which another node may have started.
   * @param request The request's id.
   * @param attempt The attempt to cancel.
   * @returns Whether the engine confirms that it no longer runs.
   */
  abstract cancel(
    request: RequestId,
    attempt: AttemptNumber,
  ): Promise<Result<boolean, Failure>>;

  /**
   * Sends an order; resolves once the engine has executed it.
   * @param order The order.
   * @returns Nothing, or a failure.
   */
  abstract sendOrder(order: EngineOrder): Promise<Result<void, Failure>>;

  /**
   * Reads the engine's state.
   * @returns The state, or a failure.
   */
  abstract readState(): Promise<Result<EngineState, Failure>>;

  /**
   * Reads the engine's load report, which lags.
   * @returns The report, or a failure.
   */
  abstract readLoad(): Promise<Result<EngineLoadReport, Failure>>;

  /**
   * Reads the cache events after a sequence number.
   * @param after The last known sequence number.
   * @returns The events, or a failure.
   */
  abstract readCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], Failure>>;

  /**
   * Exports the KV cache of a generation in progress.
   * @param request The request's id.
   * @returns The cache, or a failure.
   */
  abstract exportKvCache(
    request: RequestId,
  ): Promise<Result<ExportedKvCache, Failure>>;

  /**
   * Imports a KV cache, so that a resumed generation needs no second prefill.
   * @param cache The cache that another engine exported.
   * @returns Nothing, or a failure.
   */
  abstract importKvCache(
    cache: ExportedKvCache,
  ): Promise<Result<void, Failure>>;
}
