import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  assertInvariant,
  type EngineCapacity,
  type EngineId,
  type RequestId,
} from "@foxtailwind/core";

/** What a soak engine holds of an adapter. */
export type HeldState = "loading" | "resident" | "evicting";

/** A request that runs at a soak engine. */
export interface SoakRunning {
  readonly adapter: AdapterReference;
  hasFirstToken: boolean;
}

/**
 * An engine that carries orders out when the soak draws so, and asserts what
 * an engine needs: room for loads, residents for dispatches, and no eviction
 * of an adapter that serves.
 */
export class SoakEngine {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
  readonly adapters = new Map<AdapterKey, HeldState>();
  readonly running = new Map<RequestId, SoakRunning>();
  readonly loading = new Map<AdapterKey, AdapterReference>();
  readonly evicting = new Map<AdapterKey, AdapterReference>();

  /**
   * @param engine Its id.
   * @param capacity What it can hold.
   */
  constructor(engine: EngineId, capacity: EngineCapacity) {
    this.engine = engine;
    this.capacity = capacity;
  }

  /** Starts a load. */
  load(adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    assertInvariant(
      this.adapters.size < this.capacity.adapterSlots,
      "slots_never_exceeded",
      () => `${this.engine} holds ${this.adapters.size} adapters.`,
    );
    assertInvariant(
      !this.adapters.has(key),
      "never_loaded_twice",
      () => `${this.engine} has ${key}.`,
    );
    this.adapters.set(key, "loading");
    this.loading.set(key, adapter);
  }

  /** Ends a load. */
  endLoad(key: AdapterKey, loaded: boolean): void {
    this.loading.delete(key);
    if (loaded) this.adapters.set(key, "resident");
    else this.adapters.delete(key);
  }

  /** Starts an eviction. */
  evict(adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    assertInvariant(
      this.adapters.get(key) === "resident",
      "evicts_only_residents",
      () => `${key} is ${this.adapters.get(key) ?? "absent"}.`,
    );
    assertInvariant(
      !this.serves(key),
      "serving_adapter_never_evicted",
      () => `${key} serves at ${this.engine}.`,
    );
    this.adapters.set(key, "evicting");
    this.evicting.set(key, adapter);
  }

  /** Ends an eviction. */
  endEviction(key: AdapterKey, evicted: boolean): void {
    this.evicting.delete(key);
    if (evicted) this.adapters.delete(key);
    else this.adapters.set(key, "resident");
  }

  /** Starts a request, or goes on with one that gave way. */
  dispatch(request: RequestId, adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    assertInvariant(
      this.adapters.get(key) === "resident",
      "runs_exactly_its_adapter",
      () => `${key} is ${this.adapters.get(key) ?? "absent"}.`,
    );
    if (this.running.has(request)) return;
    this.running.set(request, { adapter, hasFirstToken: false });
  }

  /** Tells whether a request uses an adapter. */
  serves(key: AdapterKey): boolean {
    for (const { adapter } of this.running.values()) {
      if (adapterKey(adapter) === key) return true;
    }
    return false;
  }
}
