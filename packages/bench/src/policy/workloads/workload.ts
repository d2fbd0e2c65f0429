import type {
  AdapterReference,
  ClassId,
  Duration,
  EngineCapacity,
  EngineId,
  Instant,
  RequestId,
  TenantId,
} from "@foxtailwind/core";

/** How an engine behaves, as small functions of time need it. */
export interface EngineProfile {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
  /** Relative to the reference engine; 2 is twice as fast. */
  readonly speed: number;
  /** How many prompt tokens its prefix cache keeps. */
  readonly prefixCacheTokens: number;
}

/** What the weight store allows. */
export interface StoreProfile {
  readonly loadsPerSecond: number;
  /** How many loads run at full speed; more share the same rate. */
  readonly fullSpeedLoads: number;
}

/** A class of work, with the lengths of its prompts and answers. */
export interface ClassProfile {
  readonly class: ClassId;
  readonly firstTokenTarget: Duration;
  readonly interactive: boolean;
  readonly promptTokens: readonly [minimum: number, maximum: number];
  readonly outputTokens: readonly [minimum: number, maximum: number];
  /** How much of a prompt is a prefix that the adapter's prompts share. */
  readonly prefixShare: number;
}

/** One request of a workload. */
export interface WorkloadRequest {
  readonly request: RequestId;
  readonly arrival: Instant;
  readonly adapter: AdapterReference;
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly promptTokens: number;
  readonly prefixTokens: number;
  readonly prefixHash: string;
  readonly outputTokens: number;
}

/** Something that goes wrong, or changes, at a given time. */
export type Incident =
  | { readonly kind: "popularity_shift"; readonly at: Instant }
  | {
    readonly kind: "engine_restart";
    readonly at: Instant;
    readonly engine: EngineId;
    readonly downFor: Duration;
  }
  | {
    readonly kind: "load_failures";
    readonly at: Instant;
    readonly until: Instant;
    readonly probability: number;
  };

/** All that a run is given, the same for every policy. */
export interface Workload {
  readonly name: string;
  readonly deployment: string;
  readonly exponent: number;
  readonly seed: number;
  readonly engines: readonly EngineProfile[];
  readonly store: StoreProfile;
  readonly classes: readonly ClassProfile[];
  /** In the order of arrival. */
  readonly requests: readonly WorkloadRequest[];
  readonly incidents: readonly Incident[];
  /** Requests that arrive before this fill the engines and are not counted. */
  readonly measuredFrom: Instant;
  readonly lastArrival: Instant;
}
