import { chooseEvictionCandidate } from "../residency/mod.ts";
import { type AdapterSlot, isIdleSlot } from "./adapter_slot.ts";

/** What decides which adapter leaves. */
export interface EvictionRules {
  /** Whether a request waits for an adapter. */
  readonly isWanted: (slot: AdapterSlot) => boolean;
  /** The expected cost of an adapter's absence. */
  readonly costOf: (slot: AdapterSlot) => number;
}

/**
 * Chooses the adapter to evict: one that has already been ordered to leave,
 * else the idle one whose absence costs least.
 * @param slots The slots whose adapters could be unloaded now.
 * @param rules What decides which one leaves.
 * @returns The slot, or `undefined` if all are in use.
 */
export function chooseVictim(
  slots: readonly AdapterSlot[],
  { isWanted, costOf }: EvictionRules,
): AdapterSlot | undefined {
  const leaving = slots.find((slot) => slot.state === "leaving");
  if (leaving !== undefined) return leaving;
  const idle = slots.filter((slot) => isIdleSlot(slot) && !isWanted(slot));
  return chooseEvictionCandidate(idle, costOf)?.residence;
}
