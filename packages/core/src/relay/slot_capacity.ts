import type { AdapterName } from "./adapter_slot.ts";
import type { EngineMemory } from "./engine_memory.ts";

/** What takes room on an engine. */
export interface Occupancy {
  /** The adapters that may be on the engine. */
  readonly held: readonly AdapterName[];
  /** Those that could be unloaded now. */
  readonly evictable: readonly AdapterName[];
  /** Those that are requested and not yet ordered. */
  readonly requested: readonly AdapterName[];
}

/** Decides how many adapters fit on an engine, by its slots and its memory. */
export class SlotCapacity {
  readonly #slots: number;
  readonly #memory: EngineMemory | undefined;
  #reserved = 0;

  /**
   * @param slots The number of adapter slots.
   * @param memory The memory, if it is limited.
   */
  constructor(slots: number, memory?: EngineMemory) {
    this.#slots = slots;
    this.#memory = memory;
  }

  /**
   * Keeps room for adapters that may still be loaded by earlier orders.
   * @param adapters Their number; each may be of the largest size.
   */
  reserve(adapters: number): void {
    this.#reserved = adapters;
  }

  /**
   * Checks whether an adapter can be loaded beside those that are held. One that
   * is replaced keeps its slot, but may need memory for both versions.
   * @param held The adapters that may be on the engine.
   * @param name The adapter.
   * @param isReplacement Whether an older version is among them.
   * @returns Whether it fits.
   */
  hasRoom(
    held: readonly AdapterName[],
    name: AdapterName,
    isReplacement: boolean,
  ): boolean {
    const hasSlot = isReplacement ||
      held.length < this.#slots - this.#reserved;
    return hasSlot && this.#sizeOf([name]) <= this.#freeMemory(held);
  }

  /**
   * Checks whether an adapter fits on an engine that holds no other.
   * @param name The adapter.
   * @returns Whether it fits.
   */
  canHold(name: AdapterName): boolean {
    const { adapterMegabytes = Infinity } = this.#memory ?? {};
    return this.#slots > 0 && this.#sizeOf([name]) <= adapterMegabytes;
  }

  /**
   * Counts the further adapters that fit.
   * @param occupancy What takes room.
   * @param name One of them; by default, they are of the largest size.
   * @returns The count.
   */
  countAvailable(
    { held, evictable, requested }: Occupancy,
    name?: AdapterName,
  ): number {
    const slots = this.#slots - this.#reserved - held.length +
      evictable.length - requested.length;
    const size = name === undefined
      ? this.#memory?.largestAdapter ?? 0
      : this.#sizeOf([name]);
    if (size === 0) return Math.max(0, slots);
    const memory = this.#freeMemory(held) + this.#sizeOf(evictable) -
      this.#sizeOf(requested);
    return Math.max(0, Math.min(slots, Math.floor(memory / size)));
  }

  /** The free memory in megabytes; below zero if too much is held. */
  #freeMemory(held: readonly AdapterName[]): number {
    if (this.#memory === undefined) return Infinity;
    const { adapterMegabytes, largestAdapter } = this.#memory;
    return adapterMegabytes - this.#sizeOf(held) -
      this.#reserved * largestAdapter;
  }

  #sizeOf(names: readonly AdapterName[]): number {
    const memory = this.#memory;
    if (memory === undefined) return 0;
    return names.reduce((sum, { model }) => sum + memory.adapterSize(model), 0);
  }
}
