import type { AdapterReference } from "@foxtailwind/edges";
import { adapterKey } from "./adapter_key.ts";

/** A load in progress, which several orders may wait for. */
export interface AdapterLoad<Outcome> {
  readonly adapter: AdapterReference;
  readonly done: Promise<Outcome>;
}

/** The slots of an engine: adapters that are resident, and loads. */
export class AdapterSlots<Outcome> {
  readonly #slots: number;
  readonly #resident = new Map<string, AdapterReference>();
  readonly #loading = new Map<string, AdapterLoad<Outcome>>();

  /** @param slots How many adapters there is room for. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** The adapters that can run now. */
  get resident(): readonly AdapterReference[] {
    return [...this.#resident.values()];
  }

  /** The adapters whose load is in progress. */
  get loading(): readonly AdapterReference[] {
    return [...this.#loading.values()].map(({ adapter }) => adapter);
  }

  /** Whether another load may start. */
  get hasFreeSlot(): boolean {
    return this.#resident.size + this.#loading.size < this.#slots;
  }

  /**
   * Tells whether an adapter can run now.
   * @param adapter The adapter and its version.
   * @returns Whether it is resident.
   */
  isResident(adapter: AdapterReference): boolean {
    return this.#resident.has(adapterKey(adapter));
  }

  /**
   * Finds the load of an adapter that is in progress.
   * @param adapter The adapter and its version.
   * @returns The load, where there is one.
   */
  findLoad(adapter: AdapterReference): AdapterLoad<Outcome> | undefined {
    return this.#loading.get(adapterKey(adapter));
  }

  /**
   * Takes a slot for a load.
   * @param load The load.
   */
  startLoad(load: AdapterLoad<Outcome>): void {
    this.#loading.set(adapterKey(load.adapter), load);
  }

  /**
   * Ends a load: the adapter is resident, or its slot is free again.
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
