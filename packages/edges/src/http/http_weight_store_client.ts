import type { Failure } from "@foxtailwind/core";
import type { Result } from "neverthrow";
import * as z from "zod";
import type { AdapterReference } from "../engine_client.ts";
import {
  type AdapterWeights,
  WeightStoreClient,
  type WeightStoreLimits,
} from "../weight_store_client.ts";
import type { HttpClientOptions } from "./client_options.ts";
import { adapterReferenceSchema } from "./engine_schemas.ts";
import { callJson } from "./call_json.ts";

const weightsSchema = z.object({
  adapter: adapterReferenceSchema,
  bytes: z.number().nonnegative(),
});
const limitsSchema = z.object({
  loadsPerSecond: z.number().positive(),
  concurrentLoads: z.number().int().positive(),
});

/** HTTP client for one weight store. */
export class HttpWeightStoreClient extends WeightStoreClient {
  readonly #options: HttpClientOptions;

  /** @param options The store's address, connections and timeouts. */
  constructor(options: HttpClientOptions) {
    super();
    this.#options = options;
  }

  override readAdapterWeights(
    adapter: AdapterReference,
  ): Promise<Result<AdapterWeights, Failure>> {
    return callJson(this.#options, {
      step: "read_weight_store",
      method: "GET",
      path: adapterWeightsPath(adapter),
      responseSchema: weightsSchema,
    });
  }

  override readLimits(): Promise<Result<WeightStoreLimits, Failure>> {
    return callJson(this.#options, {
      step: "read_weight_store",
      method: "GET",
      path: "/v1/limits",
      responseSchema: limitsSchema,
    });
  }
}

/**
 * Builds the path of an adapter version at a weight store.
 * @param reference The adapter and its version.
 * @returns The path of its metadata; append `/weights` for the weights.
 */
export function adapterWeightsPath(reference: AdapterReference): string {
  const adapter = encodeURIComponent(reference.adapter);
  const version = encodeURIComponent(reference.version);
  return `/v1/adapters/${adapter}/versions/${version}`;
}
