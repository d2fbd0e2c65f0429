import type { AdapterReference, Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** The metadata of an adapter version in the weight store. */
export interface AdapterWeights {
  readonly adapter: AdapterReference;
  readonly bytes: number;
}

/** The load limits that a weight store announces. */
export interface WeightStoreLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}

/** Client for the weight store, from which engines fetch adapter weights. */
export abstract class WeightStoreClient {
  /**
   * Looks up an adapter version.
   * @param adapter The adapter and its version.
   * @returns The metadata of its weights, or a failure.
   */
  abstract readAdapterWeights(
    adapter: AdapterReference,
  ): Promise<Result<AdapterWeights, Failure>>;

  /**
   * Reads the store's limits.
   * @returns The limits, or a failure.
   */
  abstract readLimits(): Promise<Result<WeightStoreLimits, Failure>>;
}
