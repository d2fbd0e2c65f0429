import { type AdapterLine, lineUrgency } from "../dispatch/mod.ts";
import type { RequestBook } from "../dispatch/request_book.ts";
import type { LoadWish } from "../loads/mod.ts";
import {
  chooseVictim,
  type EngineResidency,
  type EvictionCandidate,
  LoadBackoff,
} from "../residency/mod.ts";
import {
  type AdapterKey,
  type AdapterReference,
  type EngineId,
  type Instant,
} from "../shared/mod.ts";
import type { AdapterValue } from "./adapter_value.ts";
import type { EngineDecision } from "./engine_event.ts";

/** How many wishes are offered at once. */
const MOST_WISHES = 4;
/** How much more a prefetched adapter must be worth than what it displaces. */
const PREFETCH_MARGIN = 2;

/** An adapter that may be worth loading before anyone waits for it. */
export interface PrefetchCandidate {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  /** Target lengths of waiting that it would save a second. */
  readonly worth: number;
}

/** What a planner works on. */
export interface LoadPlannerParts {
  readonly engine: EngineId;
  readonly residency: EngineResidency;
  readonly book: RequestBook;
  readonly value: AdapterValue;
}

interface LoadStart {
  readonly adapter: AdapterReference;
  readonly evicted?: AdapterReference;
}

interface PlannedLoad extends LoadStart {
  readonly key: AdapterKey;
}

/** Decides which adapters one engine wants, and which leave for them. */
export class LoadPlanner {
  readonly #parts: LoadPlannerParts;
  readonly #backoff = new LoadBackoff();
  /** Loads that wait for the eviction of another adapter. */
  readonly #afterEviction = new Map<AdapterKey, PlannedLoad>();
  readonly #awaiting = new Set<AdapterKey>();
  #orders: EngineDecision[] = [];

  /** @param parts What to work on. */
  constructor(parts: LoadPlannerParts) {
    this.#parts = parts;
  }

  /**
   * Tells whether a load is decided that waits for an eviction.
   * @param key The adapter.
   * @returns Whether one is.
   */
  isAwaiting(key: AdapterKey): boolean {
    return this.#awaiting.has(key);
  }

  /**
   * Estimates what is lost by the eviction that a load would need.
   * @param now The present time.
   * @returns Target lengths of waiting a second; 0 where a slot is free.
   */
  roomLoss(now: Instant): number {
    if (this.#freeSlots() > 0) return 0;
    return this.#victim(now)?.loss ?? Infinity;
  }

  /**
   * Lists the most urgent adapters that the engine could load now.
   * @param now The present time.
   * @param prefetch Adapters worth having before anyone waits for them.
   * @returns A few wishes.
   */
  wishes(
    now: Instant,
    prefetch: readonly PrefetchCandidate[],
  ): readonly LoadWish[] {
    const wanted = this.#wanted(now, prefetch);
    if (wanted.length === 0 || this.#freeSlots() > 0) return wanted;
    const victim = this.#victim(now);
    if (victim === undefined) return [];
    return wanted.filter((wish) =>
      wish.urgency * this.#patienceLost(now, wish) >=
        leastUrgency(wish, victim)
    );
  }

  /**
   * Uses a permit: orders the load, or first the eviction that makes room.
   * @param now The present time.
   * @param adapter The adapter that may be loaded.
   * @param key The adapter's key.
   * @returns Whether the permit is used.
   */
  usePermit(
    now: Instant,
    adapter: AdapterReference,
    key: AdapterKey,
  ): boolean {
    if (!this.#isWanted(key)) return false;
    if (this.#freeSlots() > 0) {
      this.#startLoad(now, { adapter });
      return true;
    }
    const victim = this.#victim(now);
    if (victim === undefined) return false;
    this.#parts.book.block(now, victim.residence.key);
    this.#parts.residency.startEviction(now, victim.residence.key);
    const evicted = victim.residence.adapter;
    this.#afterEviction.set(victim.residence.key, { key, adapter, evicted });
    this.#awaiting.add(key);
    this.#orders.push({ kind: "evict", adapter: evicted });
    return true;
  }

  /**
   * Goes on after an eviction, or gives its permit back where it failed.
   * @param now The present time.
   * @param victim The adapter that was to leave.
   * @param evicted Whether it has left.
   * @returns The adapter that was to take its place.
   */
  afterEviction(
    now: Instant,
    victim: AdapterKey,
    evicted: boolean,
  ): AdapterKey | undefined {
    const next = this.#afterEviction.get(victim);
    if (next === undefined) return undefined;
    this.#afterEviction.delete(victim);
    this.#awaiting.delete(next.key);
    if (evicted) this.#startLoad(now, next);
    else this.#orders.push({ kind: "return_permit", adapter: next.adapter });
    return next.key;
  }

  /**
   * Takes note of the end of a load.
   * @param now The present time.
   * @param key The adapter.
   * @param loaded Whether it is resident now.
   */
  loadEnded(now: Instant, key: AdapterKey, loaded: boolean): void {
    if (loaded) this.#backoff.succeeded(key);
    else this.#backoff.failed(now, key);
  }

  /**
   * Takes the orders decided since the last call.
   * @returns The orders.
   */
  takeOrders(): readonly EngineDecision[] {
    const orders = this.#orders;
    if (orders.length > 0) this.#orders = [];
    return orders;
  }

  #wanted(
    now: Instant,
    prefetch: readonly PrefetchCandidate[],
  ): readonly LoadWish[] {
    const wanted: LoadWish[] = [];
    for (const line of this.#parts.book.blocked.lines) {
      const wish = this.#lineWish(now, line);
      if (wish !== undefined) keepMostUrgent(wanted, wish);
    }
    for (const candidate of prefetch) {
      const wish = this.#prefetchWish(now, candidate);
      if (wish !== undefined) keepMostUrgent(wanted, wish);
    }
    return wanted;
  }

  #startLoad(now: Instant, load: LoadStart): void {
    const { adapter, evicted } = load;
    this.#parts.residency.startLoad(now, adapter);
    this.#orders.push({
      kind: "load",
      adapter,
      ...(evicted === undefined ? {} : { evicted }),
    });
  }

  /** Slots that no decided load will take. */
  #freeSlots(): number {
    return this.#parts.residency.freeSlots;
  }

  #victim(now: Instant): EvictionCandidate | undefined {
    const { residency, book, value } = this.#parts;
    return chooseVictim(
      residency.all,
      (residence) =>
        value.evictionLoss(now, residence.key, book.readyLine(residence.key)),
    );
  }

  /**
   * How much more a wish counts against remembered demand than it did when
   * its oldest request was due: remembered demand fades over minutes, and a
   * request must not wait for that.
   */
  #patienceLost(now: Instant, wish: LoadWish): number {
    const line = this.#parts.book.blocked.find(wish.key);
    const oldest = line?.requests.values().next().value;
    if (oldest === undefined) return 1;
    return 1 + Math.max(0, now - oldest.deadline) / oldest.target;
  }

  #isWanted(key: AdapterKey): boolean {
    return this.#parts.residency.find(key) === undefined &&
      !this.#awaiting.has(key);
  }

  #lineWish(now: Instant, line: AdapterLine): LoadWish | undefined {
    if (!this.#isWanted(line.key)) return undefined;
    if (this.#backoff.allowedAt(now, line.key) > now) return undefined;
    const { engine, value } = this.#parts;
    return {
      engine,
      key: line.key,
      adapter: line.adapter,
      purpose: "waiting",
      urgency: lineUrgency(now, line) + value.absenceCost(now, line.key),
    };
  }

  #prefetchWish(
    now: Instant,
    candidate: PrefetchCandidate,
  ): LoadWish | undefined {
    if (!this.#isWanted(candidate.key)) return undefined;
    if (this.#backoff.allowedAt(now, candidate.key) > now) return undefined;
    const { key, adapter, worth } = candidate;
    const { engine } = this.#parts;
    return { engine, key, adapter, purpose: "prefetch", urgency: worth };
  }
}

function leastUrgency(wish: LoadWish, victim: EvictionCandidate): number {
  return wish.purpose === "prefetch"
    ? PREFETCH_MARGIN * victim.loss
    : victim.loss;
}

function keepMostUrgent(wishes: LoadWish[], wish: LoadWish): void {
  const last = wishes[MOST_WISHES - 1];
  if (last !== undefined && last.urgency >= wish.urgency) return;
  wishes.push(wish);
  wishes.sort((left, right) => right.urgency - left.urgency);
  if (wishes.length > MOST_WISHES) wishes.pop();
}
