import {
  type Duration,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import {
  type AdapterName,
  adapterNameKey,
  type AdapterSlot,
} from "./adapter_slot.ts";
import { RecentKeys } from "./recent_keys.ts";

/**
 * Time to load an adapter from the store, according to the users'
 * specifications.
 */
const COLD_LOAD_TIME = milliseconds(250);
/** Time to load an adapter that the engine held recently. */
const WARM_LOAD_TIME = milliseconds(30);

/** A load that should have completed by a given time. */
export interface LoadCheck {
  readonly name: AdapterName;
  readonly at: Instant;
}

/** The expected completion times of the loads on one engine. */
export class LoadTimes {
  readonly #checkAt = new Map<string, Instant>();
  /** Adapters that the engine held recently and caches in memory. */
  readonly #recentlyHeld: RecentKeys;

  /** @param cachedAdapters The number of adapters that the engine caches. */
  constructor(cachedAdapters: number) {
    this.#recentlyHeld = new RecentKeys(cachedAdapters);
  }

  /**
   * Records that the engine holds an adapter or is about to.
   * @param name The adapter.
   */
  markHeld(name: AdapterName): void {
    this.#recentlyHeld.add(adapterNameKey(name));
  }

  /**
   * Records that a load has completed.
   * @param name The adapter.
   */
  markLoaded(name: AdapterName): void {
    this.markHeld(name);
    this.#checkAt.delete(adapterNameKey(name));
  }

  /**
   * Postpones the check whether a load has completed.
   * @param name The adapter.
   * @param at When to check.
   */
  postponeCheck(name: AdapterName, at: Instant): void {
    this.#checkAt.set(adapterNameKey(name), at);
  }

  /**
   * Estimates how long an adapter takes to load.
   * @param name The adapter.
   * @returns The time.
   */
  estimate(name: AdapterName): Duration {
    return this.#recentlyHeld.has(adapterNameKey(name))
      ? WARM_LOAD_TIME
      : COLD_LOAD_TIME;
  }

  /**
   * Finds the load that should have completed first.
   * @param slots The engine's slots.
   * @returns The load, or `undefined` if none is in progress.
   */
  nextCheck(slots: readonly AdapterSlot[]): LoadCheck | undefined {
    let first: LoadCheck | undefined;
    for (const slot of slots) {
      if (slot.state !== "loading") continue;
      const at = this.#checkAt.get(adapterNameKey(slot)) ??
        later(slot.since, this.estimate(slot));
      if (first === undefined || at < first.at) first = { name: slot, at };
    }
    return first;
  }
}
