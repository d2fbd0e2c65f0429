import { type Instant, instant } from "../shared/mod.ts";
import {
  type AdapterName,
  type AdapterSlot,
  keyOf,
  newSlot,
  type SlotState,
} from "./adapter_slot.ts";

/** The adapters that take a slot of one engine. */
export class SlotTable {
  #slots = new Map<string, AdapterSlot>();

  /** All of them. */
  get all(): readonly AdapterSlot[] {
    return [...this.#slots.values()];
  }

  /** How many there are. */
  get size(): number {
    return this.#slots.size;
  }

  /**
   * Finds the slot of an adapter.
   * @param name The adapter.
   * @returns The slot, or nothing.
   */
  find(name: AdapterName): AdapterSlot | undefined {
    return this.#slots.get(keyOf(name));
  }

  /**
   * Sets the slot of an adapter.
   * @param slot The slot.
   */
  set(slot: AdapterSlot): void {
    this.#slots.set(keyOf(slot), slot);
  }

  /**
   * Frees the slot of an adapter.
   * @param name The adapter.
   */
  delete(name: AdapterName): void {
    this.#slots.delete(keyOf(name));
  }

  /**
   * Replaces all slots by what the engine itself reports. Uses are kept.
   * @param now The present time.
   * @param held What it holds, with versions.
   * @param incoming What is on its way to it.
   */
  replace(
    now: Instant,
    held: readonly (AdapterName & { readonly version: number })[],
    incoming: readonly AdapterName[],
  ): void {
    const before = this.#slots;
    this.#slots = new Map();
    const put = (name: AdapterName, state: SlotState, version: number) => {
      const known = before.get(keyOf(name));
      this.set({
        ...newSlot(now, name, state, version),
        uses: known?.uses ?? 0,
        lastUse: known?.lastUse ?? instant(0),
      });
    };
    for (const name of held) put(name, "resident", name.version);
    for (const name of incoming) {
      if (this.find(name) === undefined) put(name, "loading", 0);
    }
  }
}
