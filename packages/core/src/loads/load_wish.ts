import type {
  AdapterKey,
  AdapterReference,
  EngineId,
  Instant,
} from "../shared/mod.ts";

/** Why a load is wanted. */
export type LoadPurpose = "waiting" | "prefetch";

/** A load that an engine's controller wants. */
export interface LoadWish {
  readonly engine: EngineId;
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly purpose: LoadPurpose;
  /** Callers' waiting time saved per second, in multiples of their targets. */
  readonly urgency: number;
}

/** A permit to load one adapter at one engine from the weight store. */
export interface LoadPermit {
  readonly engine: EngineId;
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly grantedAt: Instant;
  /** The load must have ended, or the permit been renewed, by this time. */
  readonly expiresAt: Instant;
}

/** The limits of a weight store. */
export interface LoadLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}
