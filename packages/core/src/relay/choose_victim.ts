import { type AdapterSlot, isUnused } from "./adapter_slot.ts";

/**
 * Chooses the adapter that gives its slot to another one: first one that has
 * been told to leave, then the one whose last use is longest ago.
 * @param slots The slots whose adapters could be ordered out now.
 * @param isWanted Whether someone waits for an adapter.
 * @returns The slot, or nothing where all are in use.
 */
export function chooseVictim(
  slots: readonly AdapterSlot[],
  isWanted: (slot: AdapterSlot) => boolean,
): AdapterSlot | undefined {
  const leaving = slots.find((slot) => slot.state === "leaving");
  if (leaving !== undefined) return leaving;
  let victim: AdapterSlot | undefined;
  for (const slot of slots) {
    if (!isUnused(slot) || isWanted(slot)) continue;
    if (victim === undefined || slot.lastUse < victim.lastUse) victim = slot;
  }
  return victim;
}
