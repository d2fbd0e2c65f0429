import { type AdapterSlot, isIdleSlot } from "./adapter_slot.ts";

/**
 * Chooses the adapter to evict: one that has already been ordered to leave,
 * else the least recently used one.
 * @param slots The slots whose adapters could be unloaded now.
 * @param isWanted Whether a request waits for an adapter.
 * @returns The slot, or `undefined` if all are in use.
 */
export function chooseVictim(
  slots: readonly AdapterSlot[],
  isWanted: (slot: AdapterSlot) => boolean,
): AdapterSlot | undefined {
  const leaving = slots.find((slot) => slot.state === "leaving");
  if (leaving !== undefined) return leaving;
  let victim: AdapterSlot | undefined;
  for (const slot of slots) {
    if (!isIdleSlot(slot) || isWanted(slot)) continue;
    if (victim === undefined || slot.lastUsedAt < victim.lastUsedAt) {
      victim = slot;
    }
  }
  return victim;
}
