import { engineId } from "@foxtailwind/core";
import type { EngineProfile } from "./workload.ts";

const PREFIX_TOKENS_A_PLACE = 1_500;

/** An engine's size. */
export interface EngineSize {
  readonly adapterSlots: number;
  readonly batchCapacity: number;
  readonly speed: number;
}

/**
 * Makes the profiles of mismatched engines.
 * @param sizes The engines' sizes.
 * @returns A profile for each.
 */
export function engineProfiles(
  sizes: readonly EngineSize[],
): readonly EngineProfile[] {
  return sizes.map((size, index) => ({
    engine: engineId(`engine-${index}`),
    capacity: {
      adapterSlots: size.adapterSlots,
      batchCapacity: size.batchCapacity,
    },
    speed: size.speed,
    prefixCacheTokens: size.batchCapacity * PREFIX_TOKENS_A_PLACE,
  }));
}
