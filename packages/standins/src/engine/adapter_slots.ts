import type { AdapterReference } from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";

/** A load in progress, which several orders may await. */
export interface AdapterLoad<Outcome> {
  readonly adapter: AdapterReference;
  readonly done: Promise<Outcome>;
}

/**
 * The adapter slots of an engine. A resident adapter and a load in progress
 * occupy one slot each.
 */
export class AdapterSlots<Outcome> {
  readonly #capacity: number;
  readonly #resident = new Map<string, AdapterReference>();
  readonly #loading = new Map<string, AdapterLoad<Outcome>>();

  /** @param capacity The number of slots. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** The adapters that are loaded and can run. */
  get resident(): readonly AdapterReference[] {
    return [...this.#resident.values()];
  }

  /** The adapters whose load is in progress. */
  get loading(): readonly AdapterReference[] {
    return [...this.#loading.values()].map(({ adapter }) => adapter);
  }

  /** Whether a slot is free for another load. */
  get hasFreeSlot(): boolean {
    return this.#resident.size + this.#loading.size < this.#capacity;
  }

  /**
   * Checks whether an adapter is loaded and can run.
   * @param adapter The adapter and its version.
   * @returns Whether it is resident.
   */
  isResident(adapter: AdapterReference): boolean {
    return this.#resident.has(adapterKey(adapter));
  }

  /**
   * Finds the load in progress of an adapter.
   * @param adapter The adapter and its version.
   * @returns The load, or `undefined` if none is in progress.
   */
  findLoad(adapter: AdapterReference): AdapterLoad<Outcome> | undefined {
    return this.#loading.get(adapterKey(adapter));
  }

  /**
   * Occupies a slot with a load.
   * @param load The load.
   */
  startLoad(load: AdapterLoad<Outcome>): void {
    this.#loading.set(adapterKey(load.adapter), load);
  }

  /**
   * Ends a load: the adapter becomes resident, or its slot is freed.
   * @param adapter The adapter and its version.
   * @param succeeded Whether the load succeeded.
   */
  finishLoad(adapter: AdapterReference, succeeded: boolean): void {
    const key = adapterKey(adapter);
    this.#loading.delete(key);
    if (succeeded) this.#resident.set(key, adapter);
  }

  /**
   * Frees the slot of a resident adapter.
   * @param adapter The adapter and its version.
   * @returns Whether it was resident.
   */
  evict(adapter: AdapterReference): boolean {
    return this.#resident.delete(adapterKey(adapter));
  }

  /** Frees the slots of all resident adapters. */
  evictAll(): void {
    this.#resident.clear();
  }
}
