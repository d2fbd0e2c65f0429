import {
  type AdapterReference,
  adapterWeightsPath,
  parseJson,
  type ReportedFailure,
  reportedFailureSchema,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import { refusal } from "../shared/refusal.ts";

/** The weight store's address and the signal that aborts the fetch. */
export interface WeightFetchOptions {
  readonly weightStoreAddress: string;
  readonly signal: AbortSignal;
}

/**
 * Fetches an adapter's weights. It occupies one of the store's concurrent loads
 * until the transfer is complete.
 * @param adapter The adapter and its version.
 * @param options The weight store and the abort signal.
 * @returns Nothing, or the reason of the failure.
 */
export async function fetchWeights(
  adapter: AdapterReference,
  options: WeightFetchOptions,
): Promise<Result<void, ReportedFailure>> {
  const path = `${adapterWeightsPath(adapter)}/weights`;
  try {
    const answer = await fetch(`${options.weightStoreAddress}${path}`, {
      signal: options.signal,
    });
    const body = await answer.text();
    if (answer.ok) return ok();
    const stated = reportedFailureSchema.safeParse(parseJson(body));
    if (stated.success) return err(stated.data);
    return err(refusal("unavailable", `The store said ${answer.status}`));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err(refusal("unavailable", `Cannot reach the store: ${detail}`));
  }
}
