import type {
  AdapterReference,
  ClassId,
  Duration,
  RequestId,
  TenantId,
} from "../shared/mod.ts";

/** A request to be queued by an engine's controller. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  readonly class: ClassId;
  readonly tenant: TenantId;
  /** The class's target for the time from arrival to the first token. */
  readonly firstTokenTarget: Duration;
  /** How long the request waited before it reached this controller. */
  readonly waitedBefore: Duration;
  /** Token counts, estimated to predict waits. */
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** The hash of the prompt's prefix, for affinity to prefix caches. */
  readonly prefixHash?: string;
}

/** A decision of an engine controller, which the shell carries out. */
export type EngineDecision =
  | {
    readonly kind: "dispatch";
    readonly request: RequestId;
    readonly priority: number;
    /** How long the request waited for a place in the batch. */
    readonly queueWait: Duration;
    /** How long the request waited for its adapter. */
    readonly loadStall: Duration;
  }
  | {
    /**
     * Gives the place of a running request to a more urgent one. The engine
     * may keep the request, which is dispatched again when there is a place.
     */
    readonly kind: "preempt";
    readonly request: RequestId;
  }
  | {
    /** Returns the unused load permit of an adapter. */
    readonly kind: "return_permit";
    readonly adapter: AdapterReference;
  }
  | {
    readonly kind: "load";
    readonly adapter: AdapterReference;
    /** The adapter that was evicted to free a slot. */
    readonly evicted?: AdapterReference;
  }
  | { readonly kind: "evict"; readonly adapter: AdapterReference }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly retryAfter: Duration;
  };

/** The capacity of an engine. */
export interface EngineCapacity {
  readonly adapterSlots: number;
  readonly batchCapacity: number;
}

/** An engine's report of its load at an earlier time. */
export interface EngineReport {
  readonly running: number;
  readonly waiting: number;
  /** The duration of one step of the batch. */
  readonly stepTime: Duration;
  /** The age of the report. */
  readonly age: Duration;
}
