import type {
  AdapterKey,
  AdapterReference,
  EngineId,
  Instant,
} from "../shared/mod.ts";

/** Why an adapter is wanted at an engine. */
export type LoadPurpose = "waiting" | "prefetch";

/** An adapter that an engine's controller wants to load. */
export interface LoadWish {
  readonly engine: EngineId;
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly purpose: LoadPurpose;
  /** Target lengths of callers' waiting that the load saves a second. */
  readonly urgency: number;
}

/** The right to load one adapter at one engine, from the weight store. */
export interface LoadPermit {
  readonly engine: EngineId;
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  readonly grantedAt: Instant;
  /** The holder must have ended the load by then, or renewed the permit. */
  readonly expiresAt: Instant;
}

/** What a weight store allows. */
export interface LoadLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}
