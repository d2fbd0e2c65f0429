import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import {
  type AdapterName,
  adapterNameKey,
  type AdapterSlot,
  type SlotLimits,
} from "./adapter_slot.ts";
import {
  LearnedLoadTimes,
  type LoadSource,
} from "./residency/learned_load_times.ts";
import { adapterHash, RecentAdapters } from "./residency/recent_adapters.ts";

/**
 * The share of its size by which the cache is probed beyond it: an adapter
 * there is expected from the cache when its load is checked. The adapters that
 * left the slots last are always probed.
 */
const CACHE_PROBE_SHARE = 0.1;
const PROBED_BEYOND_SLOTS = 2;
/**
 * The part of the way to the rank of an adapter that wasn't in the cache by
 * which the cache is taken to be smaller. A single slow load has other causes.
 */
const CACHE_SHRINKAGE = 0.5;
/**
 * A load from the cache that takes this many times as long as expected is
 * taken to come from the store.
 */
const CACHE_LOAD_TOLERANCE = 1.5;

/** A load that should have completed by a given time. */
export interface LoadCheck {
  readonly name: AdapterName;
  readonly at: Instant;
}

/** How long loads on one engine are expected to take. */
export interface ExpectedLoadTimes {
  /** How many of the recently held adapters load from the engine's cache. */
  readonly cacheSize: number;
  sourceOf(name: AdapterName, minimumVersion: number): LoadSource;
  estimateFrom(source: LoadSource): Duration;
}

/** A load that has been ordered. */
interface OrderedLoad {
  readonly expectedSource: LoadSource;
  /** How recently the engine had held the adapter, if it had. */
  readonly rank: number | undefined;
  readonly startedAt: Instant;
  /** When the last check found it unfinished. */
  readonly unfinishedAt?: Instant;
}

/**
 * The expected completion times of the loads on one engine, learned from its
 * earlier loads, with the adapters that the engine probably caches.
 */
export class LoadTimes implements ExpectedLoadTimes {
  readonly #times = new LearnedLoadTimes();
  readonly #recentlyHeld: RecentAdapters;
  readonly #slots: number;
  readonly #maximumCacheSize: number;
  readonly #loads = new Map<string, OrderedLoad>();
  readonly #checkAt = new Map<string, Instant>();
  #cacheSize: number;

  /**
   * @param limits The engine's slots, and the largest number of recently held
   * adapters that it may cache.
   * @param heldBefore What the engine has held under an earlier owner.
   */
  constructor(
    { slots, cachedAdapters }: Pick<SlotLimits, "slots" | "cachedAdapters">,
    heldBefore?: RecentAdapters,
  ) {
    this.#slots = slots;
    this.#maximumCacheSize = cachedAdapters;
    this.#cacheSize = cachedAdapters;
    this.#recentlyHeld = new RecentAdapters(cachedAdapters);
    if (heldBefore !== undefined) this.#recentlyHeld.append(heldBefore);
  }

  /** How many of the recently held adapters load quickly. */
  get cacheSize(): number {
    return Math.round(this.#cacheSize);
  }

  /**
   * Records that the engine holds an adapter.
   * @param name The adapter.
   * @param version Its version; the known one by default.
   */
  markHeld(name: AdapterName, version?: number): void {
    this.#recentlyHeld.touch(adapterHash(name), version);
  }

  /**
   * Records that the engine has accepted the order of a load.
   * @param now The present time.
   * @param name The adapter.
   * @param version Its oldest version allowed.
   */
  markOrdered(now: Instant, name: AdapterName, version: number): void {
    const rank = this.#recentlyHeld.rankOf(adapterHash(name), version);
    const probedSize = Math.max(
      this.#slots + PROBED_BEYOND_SLOTS,
      (1 + CACHE_PROBE_SHARE) * this.#cacheSize + 1,
    );
    const isProbed = rank !== undefined && rank < probedSize;
    this.#loads.set(adapterNameKey(name), {
      expectedSource: isProbed ? "cache" : "store",
      rank,
      startedAt: now,
    });
  }

  /**
   * Records that a load has completed, and learns from it.
   * @param now The present time.
   * @param name The adapter.
   * @param version Its version.
   * @returns Where the adapter came from, or `undefined` if its load wasn't
   * measured.
   */
  markLoaded(
    now: Instant,
    name: AdapterName,
    version: number,
  ): LoadSource | undefined {
    this.markHeld(name, version);
    const key = adapterNameKey(name);
    const load = this.#loads.get(key);
    this.#loads.delete(key);
    this.#checkAt.delete(key);
    return load === undefined ? undefined : this.#learn(now, load);
  }

  /** Forgets the loads in progress, whose beginnings are no longer certain. */
  forgetLoads(): void {
    this.#loads.clear();
  }

  /**
   * Postpones the check whether a load has completed.
   * @param now The present time.
   * @param name The adapter.
   * @param delay The time until the next check.
   */
  postponeCheck(now: Instant, name: AdapterName, delay: Duration): void {
    const key = adapterNameKey(name);
    const load = this.#loads.get(key);
    let at = later(now, delay);
    if (load !== undefined) {
      this.#loads.set(key, { ...load, unfinishedAt: now });
      at = this.#laterCheck(now, load) ?? at;
    }
    this.#checkAt.set(key, at);
  }

  /**
   * Tells where an adapter would be loaded from.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns The expected source.
   */
  sourceOf(name: AdapterName, minimumVersion: number): LoadSource {
    const hash = adapterHash(name);
    const rank = this.#recentlyHeld.rankOf(hash, minimumVersion);
    return rank !== undefined && rank < this.cacheSize ? "cache" : "store";
  }

  /**
   * Estimates how long an adapter takes to load.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @returns The time.
   */
  estimate(name: AdapterName, minimumVersion: number): Duration {
    return this.#times.estimate(this.sourceOf(name, minimumVersion));
  }

  /**
   * Estimates how long a load from a source takes.
   * @param source The source.
   * @returns The time.
   */
  estimateFrom(source: LoadSource): Duration {
    return this.#times.estimate(source);
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
      const key = adapterNameKey(slot);
      const source = this.#loads.get(key)?.expectedSource ??
        this.sourceOf(slot, slot.version);
      const at = this.#checkAt.get(key) ??
        later(slot.since, this.#times.estimate(source));
      if (first === undefined || at < first.at) first = { name: slot, at };
    }
    return first;
  }

  /** When to check a load next that turns out to come from the store. */
  #laterCheck(now: Instant, load: OrderedLoad): Instant | undefined {
    if (load.expectedSource === "store") return undefined;
    const tolerated = CACHE_LOAD_TOLERANCE * this.#times.estimate("cache");
    if (elapsed(load.startedAt, now) < tolerated) return undefined;
    const at = later(load.startedAt, this.#times.estimate("store"));
    return at > now ? at : undefined;
  }

  #learn(now: Instant, load: OrderedLoad): LoadSource {
    const { startedAt, unfinishedAt, expectedSource } = load;
    const wasDoneAtFirstCheck = unfinishedAt === undefined;
    const middle = wasDoneAtFirstCheck ? now : (unfinishedAt + now) / 2;
    const took = milliseconds(middle - startedAt);
    const source = wasDoneAtFirstCheck
      ? expectedSource
      : this.#times.sourceOf(took);
    this.#times.record(source, { wasDoneAtFirstCheck, took });
    if (expectedSource === "cache") this.#adjustCacheSize(source, load.rank);
    return source;
  }

  #adjustCacheSize(source: LoadSource, rank: number | undefined): void {
    if (rank === undefined) return;
    if (source === "cache") {
      const size = Math.max(this.#cacheSize, rank + 1);
      this.#cacheSize = Math.min(this.#maximumCacheSize, size);
    } else if (rank < this.#cacheSize) {
      const shrinkage = CACHE_SHRINKAGE * (this.#cacheSize - rank);
      this.#cacheSize = Math.max(1, this.#cacheSize - shrinkage);
    }
  }
}
