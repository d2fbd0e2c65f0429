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

/** An event in the life of a request, for histograms and explanations. */
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
    /** Why this engine was chosen; one of a fixed set of reasons. */
    readonly reason: string;
  }
  | {
    readonly kind: "queued";
    readonly request: RequestId;
    readonly engine: EngineId;
    readonly ahead: number;
    /** Set if the request arrived at another node; counted under these. */
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
    /** The time it waited for a place in the batch. */
    readonly queueWait: Duration;
    /** The part of the wait spent on loading its adapter. */
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
