import type { AdapterReference, Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** What the weight store knows of an adapter version. */
export interface AdapterWeights {
  readonly adapter: AdapterReference;
  readonly bytes: number;
}

/** The limits that a weight store states. */
export interface WeightStoreLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}

/** The edge to the weight store. Engines fetch from it when told to load. */
export abstract class WeightStoreClient {
  /** Looks an adapter version up. */
  abstract describe(
    adapter: AdapterReference,
  ): Promise<Result<AdapterWeights, Failure>>;

  /** Reads the store's limits. */
  abstract readLimits(): Promise<Result<WeightStoreLimits, Failure>>;
}
