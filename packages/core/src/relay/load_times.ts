import {
  type Duration,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import { type AdapterName, type AdapterSlot, keyOf } from "./adapter_slot.ts";
import { RecentKeys } from "./recent_keys.ts";

/** Time to load an adapter from the store, by the users' sheets. */
const COLD_LOAD = milliseconds(250);
/** The same for an adapter that the engine held lately. */
const WARM_LOAD = milliseconds(30);

/** A load that should have ended by a time. */
export interface LoadCheck {
  readonly name: AdapterName;
  readonly at: Instant;
}

/** When the loads of one engine should have ended. */
export class LoadTimes {
  readonly #askAt = new Map<string, Instant>();
  /** Adapters that the engine held lately, and keeps in memory. */
  readonly #kept: RecentKeys;

  /** @param kept How many adapters the engine keeps in memory. */
  constructor(kept: number) {
    this.#kept = new RecentKeys(kept);
  }

  /**
   * Takes note that the engine has, or is to have, an adapter.
   * @param name The adapter.
   */
  seen(name: AdapterName): void {
    this.#kept.add(keyOf(name));
  }

  /**
   * Takes note that a load has ended.
   * @param name The adapter.
   */
  ended(name: AdapterName): void {
    this.seen(name);
    this.#askAt.delete(keyOf(name));
  }

  /**
   * Puts the question whether a load has ended off.
   * @param name The adapter.
   * @param at When to ask.
   */
  askAt(name: AdapterName, at: Instant): void {
    this.#askAt.set(keyOf(name), at);
  }

  /**
   * Estimates how long an adapter takes to load.
   * @param name The adapter.
   * @returns The time.
   */
  timeOf(name: AdapterName): Duration {
    return this.#kept.has(keyOf(name)) ? WARM_LOAD : COLD_LOAD;
  }

  /**
   * Finds the load that should have ended first.
   * @param slots The engine's slots.
   * @returns The load, or nothing where none is in progress.
   */
  next(slots: readonly AdapterSlot[]): LoadCheck | undefined {
    let first: LoadCheck | undefined;
    for (const slot of slots) {
      if (slot.state !== "loading") continue;
      const at = this.#askAt.get(keyOf(slot)) ??
        later(slot.since, this.timeOf(slot));
      if (first === undefined || at < first.at) first = { name: slot, at };
    }
    return first;
  }
}
