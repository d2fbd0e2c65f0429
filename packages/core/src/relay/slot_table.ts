import { type Instant, instant } from "../shared/mod.ts";
import {
  type AdapterName,
  adapterNameKey,
  type AdapterSlot,
  createSlot,
  type SlotState,
} from "./adapter_slot.ts";

/** The adapters that occupy the slots of one engine. */
export class SlotTable {
  #slots = new Map<string, AdapterSlot>();

  /** All occupied slots. */
  get all(): readonly AdapterSlot[] {
    return [...this.#slots.values()];
  }

  /** The number of occupied slots. */
  get size(): number {
    return this.#slots.size;
  }

  /** The number of adapters that are being loaded. */
  get loadingCount(): number {
    return this.all.filter(({ state }) => state === "loading").length;
  }

  /**
   * Finds the slot of an adapter.
   * @param name The adapter.
   * @returns The slot, or `undefined`.
   */
  find(name: AdapterName): AdapterSlot | undefined {
    return this.#slots.get(adapterNameKey(name));
  }

  /**
   * Sets the slot of an adapter.
   * @param slot The slot.
   */
  set(slot: AdapterSlot): void {
    this.#slots.set(adapterNameKey(slot), slot);
  }

  /**
   * Records that uses of an adapter have begun or ended.
   * @param now The present time.
   * @param slot Its slot.
   * @param change The change of the number of uses.
   */
  countUses(now: Instant, slot: AdapterSlot, change: number): void {
    this.set({ ...slot, useCount: slot.useCount + change, lastUsed: now });
  }

  /**
   * Frees the slot of an adapter.
   * @param name The adapter.
   */
  delete(name: AdapterName): void {
    this.#slots.delete(adapterNameKey(name));
  }

  /**
   * Replaces all slots with the engine's own report. Use counts are kept.
   * @param now The present time.
   * @param held The adapters that the engine holds, with versions.
   * @param loading The adapters that are being loaded.
   */
  replace(
    now: Instant,
    held: readonly (AdapterName & { readonly version: number })[],
    loading: readonly AdapterName[],
  ): void {
    const before = this.#slots;
    this.#slots = new Map();
    const put = (name: AdapterName, state: SlotState, version: number) => {
      const known = before.get(adapterNameKey(name));
      this.set({
        ...createSlot(now, name, state, version),
        useCount: known?.useCount ?? 0,
        lastUsed: known?.lastUsed ?? instant(0),
      });
    };
    for (const name of held) put(name, "resident", name.version);
    for (const name of loading) {
      if (this.find(name) === undefined) put(name, "loading", 0);
    }
  }
}
