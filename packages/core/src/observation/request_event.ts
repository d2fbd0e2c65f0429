import type {
  AdapterReference,
  AttemptNumber,
  ClassId,
  Duration,
  EngineId,
  Failure,
  NodeId,
  RequestId,
  TenantId,
} from "../shared/mod.ts";

/** A step of one request's life, for histograms and explanations. */
export type RequestEvent =
  | {
    readonly kind: "arrived";
    readonly request: RequestId;
    readonly class: ClassId;
    readonly tenant: TenantId;
    readonly adapter: AdapterReference;
  }
  | {
    readonly kind: "routed";
    readonly request: RequestId;
    readonly attempt: AttemptNumber;
    readonly engine: EngineId;
    readonly node: NodeId;
    /** Why this engine, in a few words of a fixed set. */
    readonly reason: string;
  }
  | {
    readonly kind: "queued";
    readonly request: RequestId;
    readonly engine: EngineId;
    readonly ahead: number;
    /** Where the request came from another node, what it is counted under. */
    readonly class?: ClassId;
    readonly tenant?: TenantId;
  }
  | {
    readonly kind: "load_started";
    readonly request: RequestId;
    readonly engine: EngineId;
    readonly adapter: AdapterReference;
    readonly evicted?: AdapterReference;
  }
  | {
    readonly kind: "load_ended";
    readonly request: RequestId;
    readonly engine: EngineId;
    readonly loaded: boolean;
  }
  | {
    readonly kind: "dispatched";
    readonly request: RequestId;
    readonly engine: EngineId;
    /** How long it waited for a place in the batch. */
    readonly queueWait: Duration;
    /** How long of its wait was for its adapter to load. */
    readonly loadStall: Duration;
  }
  | {
    readonly kind: "frame";
    readonly request: RequestId;
    readonly tokens: number;
  }
  | { readonly kind: "preempted"; readonly request: RequestId }
  | {
    readonly kind: "attempt_failed";
    readonly request: RequestId;
    readonly attempt: AttemptNumber;
    readonly failure: Failure;
  }
  | {
    readonly kind: "ended";
    readonly request: RequestId;
    readonly failure?: Failure;
    readonly completionTokens: number;
  };
