import type {
  AdapterReference,
  ClassId,
  Duration,
  RequestId,
  TenantId,
} from "../shared/mod.ts";

/** A request as the engine's controller queues it. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly class: ClassId;
  readonly tenant: TenantId;
  /** The class's target for the first token, counted from arrival. */
  readonly firstTokenTarget: Duration;
  /** How long the request had waited elsewhere before it came here. */
  readonly waitedBefore: Duration;
  /** Estimates, for expected waits. */
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Names the prompt's prefix, for affinity to cached prefixes. */
  readonly prefixHash?: string;
}

/** What a controller wants done; the shell carries it out. */
export type EngineDecision =
  | {
    readonly kind: "dispatch";
    readonly request: RequestId;
    readonly priority: number;
    /** How long it waited for a place in the batch. */
    readonly queueWait: Duration;
    /** How long it waited for its adapter. */
    readonly loadStall: Duration;
  }
  | {
    /**
     * Gives up a running request's place for a more urgent one. The engine
     * may hold it on; it is dispatched again when there is a place.
     */
    readonly kind: "preempt";
    readonly request: RequestId;
  }
  | {
    /** The permit for this adapter's load will not be used. */
    readonly kind: "return_permit";
    readonly adapter: AdapterReference;
  }
  | {
    readonly kind: "load";
    readonly adapter: AdapterReference;
    /** What left to make room for it. */
    readonly evicted?: AdapterReference;
  }
  | { readonly kind: "evict"; readonly adapter: AdapterReference }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly retryAfter: Duration;
  };

/** What is known of an engine's capacity. */
export interface EngineCapacity {
  readonly adapterSlots: number;
  readonly batchCapacity: number;
}

/** An engine's own report of its load, as of some time ago. */
export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  /** How long a step of its batch takes. */
  readonly stepTime: Duration;
  /** How old the figures are. */
  readonly age: Duration;
}
