import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  assertInvariant,
  type Instant,
} from "../shared/mod.ts";
import { isIdle, type Residence } from "./residence.ts";

type MutableResidence = { -readonly [Key in keyof Residence]: Residence[Key] };

/** The adapters that an engine reports. */
export interface ReportedAdapters {
  readonly resident: readonly AdapterReference[];
  readonly loading: readonly AdapterReference[];
}

/** The adapters of an engine, read some time after a takeover. */
export interface ObservedState {
  readonly resident: readonly AdapterKey[];
  readonly loading: readonly AdapterKey[];
  /** Adapters of requests that this controller did not dispatch. */
  readonly inUse: ReadonlySet<AdapterKey>;
}

/** The differences between the adopted state and a later one. */
export interface Reconciliation {
  readonly gone: readonly AdapterKey[];
  readonly loaded: readonly AdapterKey[];
}

/**
 * Tracks the adapters of one engine. An adapter is pinned while a request that
 * uses it is running or being sent. A pinned adapter is never evicted.
 */
export class EngineResidency {
  readonly #slots: number;
  readonly #residences = new Map<AdapterKey, MutableResidence>();

  /** @param slots Number of adapters that the engine can hold. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Number of free slots. */
  get freeSlots(): number {
    return Math.max(0, this.#slots - this.#residences.size);
  }

  /** All adapters in slots, at most one per slot. */
  get all(): Iterable<Residence> {
    return this.#residences.values();
  }

  /**
   * Checks whether any adapter could be evicted.
   * @returns Whether one is idle.
   */
  hasIdle(): boolean {
    for (const residence of this.#residences.values()) {
      if (isIdle(residence)) return true;
    }
    return false;
  }

  /**
   * Finds an adapter's residence.
   * @param key The adapter.
   * @returns The residence, or undefined.
   */
  find(key: AdapterKey): Residence | undefined {
    return this.#residences.get(key);
  }

  /**
   * Checks whether an adapter can serve requests now.
   * @param key The adapter.
   * @returns Whether it is resident and not being evicted.
   */
  isResident(key: AdapterKey): boolean {
    return this.#residences.get(key)?.state === "resident";
  }

  /**
   * Adds the adapters that the engine reports after a takeover.
   * @param now The present time.
   * @param found The adapters reported by the engine.
   */
  adopt(now: Instant, found: ReportedAdapters): void {
    for (const adapter of found.resident) {
      this.#put(now, adapter, { state: "resident", unproven: true });
    }
    for (const adapter of found.loading) {
      this.#put(now, adapter, { state: "loading", unproven: true });
    }
  }

  /** Whether other nodes may still use or load any adopted adapter. */
  hasUnproven(): boolean {
    for (const residence of this.#residences.values()) {
      if (residence.unproven) return true;
    }
    return false;
  }

  /**
   * Compares adopted adapters with a later state of the engine: marks unused
   * ones as proven idle, and ends loads that are no longer in progress.
   * @param now The present time.
   * @param state The engine's present state.
   * @returns The adapters that are gone, and those whose load has ended.
   */
  reconcile(now: Instant, state: ObservedState): Reconciliation {
    const resident = new Set(state.resident);
    const loading = new Set(state.loading);
    const gone: AdapterKey[] = [];
    const loaded: AdapterKey[] = [];
    for (const residence of [...this.#residences.values()]) {
      const { key } = residence;
      if (!residence.unproven || loading.has(key)) continue;
      if (!resident.has(key)) {
        if (this.forget(key)) gone.push(key);
        continue;
      }
      if (residence.state === "loading") {
        this.loadEnded(now, { key, loaded: true });
        loaded.push(key);
      }
      if (!state.inUse.has(key)) residence.unproven = false;
    }
    return { gone, loaded };
  }

  /**
   * Removes an adapter that the engine turned out not to hold.
   * @param key The adapter.
   * @returns Whether it was removed: known, not pinned, and without an own
   * load or eviction in progress.
   */
  forget(key: AdapterKey): boolean {
    const residence = this.#residences.get(key);
    if (residence === undefined || residence.pins > 0) return false;
    if (residence.state === "evicting") return false;
    if (residence.state === "loading" && !residence.unproven) return false;
    return this.#residences.delete(key);
  }

  /**
   * Pins a resident adapter for a request that is being dispatched.
   * @param now The present time.
   * @param key The adapter.
   */
  pin(now: Instant, key: AdapterKey): void {
    const residence = this.#residences.get(key);
    assertInvariant(
      residence?.state === "resident",
      "dispatched_only_to_resident_adapter",
      () => `${key} is ${residence?.state ?? "absent"}.`,
    );
    residence.pins += 1;
    residence.lastUsed = now;
  }

  /**
   * Removes the pin of a request that has ended.
   * @param now The present time.
   * @param key The adapter.
   */
  unpin(now: Instant, key: AdapterKey): void {
    const residence = this.#residences.get(key);
    assertInvariant(
      residence !== undefined && residence.pins > 0,
      "pins_balance",
      () => `${key} has ${residence?.pins ?? 0} pins.`,
    );
    residence.pins -= 1;
    residence.lastUsed = now;
  }

  /**
   * Starts a load in a free slot.
   * @param now The present time.
   * @param adapter The adapter.
   */
  startLoad(now: Instant, adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    assertInvariant(
      this.freeSlots > 0 && !this.#residences.has(key),
      "load_has_free_slot",
      () => `${key}: ${this.freeSlots} slots are free.`,
    );
    this.#put(now, adapter, { state: "loading", unproven: false });
  }

  /**
   * Ends a load.
   * @param now The present time.
   * @param load The adapter, and whether it is now resident.
   * @returns Whether a load was in progress.
   */
  loadEnded(
    now: Instant,
    load: { readonly key: AdapterKey; readonly loaded: boolean },
  ): boolean {
    const residence = this.#residences.get(load.key);
    if (residence?.state !== "loading") return false;
    if (!load.loaded) {
      this.#residences.delete(load.key);
      return true;
    }
    residence.state = "resident";
    residence.since = now;
    residence.lastUsed = now;
    return true;
  }

  /**
   * Starts the eviction of an idle adapter.
   * @param now The present time.
   * @param key The adapter.
   */
  startEviction(now: Instant, key: AdapterKey): void {
    const residence = this.#residences.get(key);
    assertInvariant(
      residence !== undefined && isIdle(residence),
      "serving_adapter_never_evicted",
      () => `${key} has ${residence?.pins ?? 0} pins.`,
    );
    residence.state = "evicting";
    residence.since = now;
  }

  /**
   * Ends an eviction. After a failed eviction the adapter stays resident.
   * @param now The present time.
   * @param eviction The adapter, and whether it was evicted.
   * @returns Whether an eviction was in progress.
   */
  evictionEnded(
    now: Instant,
    eviction: { readonly key: AdapterKey; readonly evicted: boolean },
  ): boolean {
    const residence = this.#residences.get(eviction.key);
    if (residence?.state !== "evicting") return false;
    if (eviction.evicted) {
      this.#residences.delete(eviction.key);
      return true;
    }
    residence.state = "resident";
    residence.since = now;
    return true;
  }

  #put(
    now: Instant,
    adapter: AdapterReference,
    how: Pick<Residence, "state" | "unproven">,
  ): void {
    const key = adapterKey(adapter);
    this.#residences.set(key, {
      key,
      adapter,
      ...how,
      pins: 0,
      since: now,
      lastUsed: now,
    });
  }
}
