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

/** One message of a conversation that is to be continued. */
export interface PromptMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

/** A request for generation, as an engine takes it. */
export interface GenerateCall {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly model: ModelId;
  readonly adapter: AdapterReference;
  readonly messages: readonly PromptMessage[];
  readonly maximumTokens: number;
  /** Higher goes first in the engine's batch; derived, never configured. */
  readonly priority: number;
  /** The first sequence wanted: 0, or the next one when a stream resumes. */
  readonly fromSequence: number;
}

/** A piece of an answer: consecutive tokens that start at `sequence`. */
export interface GenerationFrame {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly sequence: number;
  readonly tokens: readonly string[];
  /** What the engine says that it ran; a mismatch is never passed on. */
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

/** Receives a generation. Calls arrive on the loop, one at a time, in order. */
export abstract class GenerationSink {
  /** @param frame The next frame, as the engine sent it. */
  abstract onFrame(frame: GenerationFrame): void;
  /** @param result The end; called exactly once, after the last frame. */
  abstract onEnd(result: Result<GenerationEnd, Failure>): void;
}

/** Controls a generation in progress. */
export interface GenerationHandle {
  /** Stops reading from the engine, so that back-pressure reaches it. */
  pause(): void;
  /** Reads on after {@link pause}. */
  unpause(): void;
  /** Cancels the generation at the engine; the sink's end still comes. */
  cancel(): void;
}

interface OrderBase {
  /** Fences orders of controllers from before; some engines ignore it. */
  readonly fencing: FencingNumber;
  /** Milliseconds after which an engine must not act on the order. */
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

/** What an engine does of the two phases of generation. */
export type EngineRole = "both" | "prefill" | "decode";

/** An engine's own state, read from it. */
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

/** A generation that an engine holds. */
export interface RunningGeneration {
  readonly request: RequestId;
  readonly attempt: AttemptNumber;
  readonly adapter: AdapterReference;
  /** Tokens generated so far. */
  readonly generated: number;
}

/** An engine's load, as of some time ago. */
export interface EngineLoadReport {
  readonly engine: EngineId;
  readonly bootId: string;
  readonly running: number;
  readonly waiting: number;
  readonly stepMilliseconds: number;
  /** Mean share of the batch in use over the last report interval, 0 to 1. */
  readonly batchFill: number;
  readonly prefixCacheUsed: number;
  /** How old the figures are at the engine, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** A change of the engine's prefix cache, published late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly adapter: AdapterReference;
  /** Names the prompt prefix; the same text gives the same hash. */
  readonly prefixHash: string;
}

/** A KV cache, exported from one engine for import into another. */
export interface ExportedKvCache {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly data: string;
}

/** The edge to one model engine. */
export abstract class EngineClient {
  /**
   * Starts, or resumes, a generation.
   * @param call What to generate.
   * @param sink Receives the frames and the end.
   * @returns The handle of the generation.
   */
  abstract generate(call: GenerateCall, sink: GenerationSink): GenerationHandle;

  /**
   * Cancels a generation, also one started by another node.
   * @returns `true` where the engine confirms that it will not run any more.
   */
  abstract cancel(
    request: RequestId,
    attempt: AttemptNumber,
  ): Promise<Result<boolean, Failure>>;

  /**
   * Gives an order; resolves once the engine has carried it out.
   * @param order The order.
   */
  abstract order(order: EngineOrder): Promise<Result<void, Failure>>;

  /** Reads the engine's state. */
  abstract readState(): Promise<Result<EngineState, Failure>>;

  /** Reads the engine's lagging load report. */
  abstract readLoad(): Promise<Result<EngineLoadReport, Failure>>;

  /**
   * Reads cache events after a sequence.
   * @param after The last sequence known.
   */
  abstract readCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], Failure>>;

  /** Exports the KV cache of a generation in progress. */
  abstract exportKvCache(
    request: RequestId,
  ): Promise<Result<ExportedKvCache, Failure>>;

  /** Imports a KV cache, so that a resume needs no second prefill. */
  abstract importKvCache(
    cache: ExportedKvCache,
  ): Promise<Result<void, Failure>>;
}
