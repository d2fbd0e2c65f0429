import { type AdapterQueue, queueUrgency } from "../dispatch/mod.ts";
import type { EngineRequests } from "../dispatch/engine_requests.ts";
import type { LoadWish } from "../loads/mod.ts";
import {
  chooseEvictionCandidate,
  type EngineResidency,
  type EvictionCandidate,
  isIdle,
  LoadBackoff,
  type Residence,
} from "../residency/mod.ts";
import {
  type AdapterKey,
  type AdapterReference,
  type EngineId,
  type Instant,
} from "../shared/mod.ts";
import type { AdapterValueEstimator } from "./adapter_value_estimator.ts";
import type { EngineDecision } from "./engine_event.ts";

/** The maximum number of wishes that are offered at once. */
const MAXIMUM_WISHES = 4;
/**
 * How many times the value of its victim a prefetched adapter must be worth.
 */
const MINIMUM_PREFETCH_RATIO = 2;

/** An adapter that may be worth loading before a request needs it. */
export interface PrefetchCandidate {
  readonly key: AdapterKey;
  readonly adapter: AdapterReference;
  /** The waiting that it would save, in target lengths per second. */
  readonly worth: number;
}

/** The dependencies of a load planner. */
export interface LoadPlannerParts {
  readonly engine: EngineId;
  readonly residency: EngineResidency;
  readonly engineRequests: EngineRequests;
  readonly value: AdapterValueEstimator;
}

interface LoadStart {
  readonly adapter: AdapterReference;
  readonly evicted?: AdapterReference;
}

interface PlannedLoad extends LoadStart {
  readonly key: AdapterKey;
}

/** Decides which adapters an engine loads and evicts. */
export class LoadPlanner {
  readonly #parts: LoadPlannerParts;
  readonly #backoff = new LoadBackoff();
  /** Planned loads by the adapter that is being evicted for them. */
  readonly #loadByVictim = new Map<AdapterKey, PlannedLoad>();
  readonly #awaitingEviction = new Set<AdapterKey>();
  #orders: EngineDecision[] = [];

  /** @param parts The dependencies of the planner. */
  constructor(parts: LoadPlannerParts) {
    this.#parts = parts;
  }

  /**
   * Tells whether the load of an adapter waits for an eviction.
   * @param key The key of the adapter.
   * @returns Whether such a load is planned.
   */
  isAwaitingEviction(key: AdapterKey): boolean {
    return this.#awaitingEviction.has(key);
  }

  /**
   * Estimates the loss by the eviction that a load would need.
   * @param now The present time.
   * @returns The loss in target lengths of waiting per second, or 0 if a slot
   * is free.
   */
  roomLoss(now: Instant): number {
    if (this.#freeSlots() > 0) return 0;
    return this.#chooseVictim(now)?.cost ?? Infinity;
  }

  /**
   * Lists the most urgent adapters that the engine could load now.
   * @param now The present time.
   * @param prefetch Candidates for loading before a request needs them.
   * @returns A limited number of load wishes.
   */
  wishes(
    now: Instant,
    prefetch: readonly PrefetchCandidate[],
  ): readonly LoadWish[] {
    const wanted = this.#wanted(now, prefetch);
    if (wanted.length === 0 || this.#freeSlots() > 0) return wanted;
    const victim = this.#chooseVictim(now);
    if (victim === undefined) return [];
    return wanted.filter((wish) =>
      wish.urgency * this.#overdueFactor(now, wish) >=
        minimumUrgency(wish, victim)
    );
  }

  /**
   * Uses a permit: orders the load, or first an eviction if no slot is free.
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
    const victim = this.#chooseVictim(now);
    if (victim === undefined) return false;
    this.#parts.engineRequests.block(now, victim.residence.key);
    this.#parts.residency.startEviction(now, victim.residence.key);
    const evicted = victim.residence.adapter;
    this.#loadByVictim.set(victim.residence.key, { key, adapter, evicted });
    this.#awaitingEviction.add(key);
    this.#orders.push({ kind: "evict", adapter: evicted });
    return true;
  }

  /**
   * Starts the load that waited for an eviction, or returns its permit if the
   * eviction failed.
   * @param now The present time.
   * @param victim The key of the adapter to evict.
   * @param evicted Whether it was evicted.
   * @returns The key of the adapter whose load waited, if any.
   */
  evictionEnded(
    now: Instant,
    victim: AdapterKey,
    evicted: boolean,
  ): AdapterKey | undefined {
    const next = this.#loadByVictim.get(victim);
    if (next === undefined) return undefined;
    this.#loadByVictim.delete(victim);
    this.#awaitingEviction.delete(next.key);
    if (evicted) this.#startLoad(now, next);
    else this.#orders.push({ kind: "return_permit", adapter: next.adapter });
    return next.key;
  }

  /**
   * Records the end of a load, for backoff.
   * @param now The present time.
   * @param key The key of the adapter.
   * @param loaded Whether the adapter is now resident.
   */
  loadEnded(now: Instant, key: AdapterKey, loaded: boolean): void {
    if (loaded) this.#backoff.recordSuccess(key);
    else this.#backoff.recordFailure(now, key);
  }

  /**
   * Takes the orders that were decided since the last call.
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
    for (const queue of this.#parts.engineRequests.blocked.queues) {
      const wish = this.#waitingWish(now, queue);
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

  /** The number of slots without an adapter or a planned load. */
  #freeSlots(): number {
    return this.#parts.residency.freeSlots;
  }

  #chooseVictim(now: Instant): EvictionCandidate<Residence> | undefined {
    const { residency, engineRequests, value } = this.#parts;
    return chooseEvictionCandidate(
      [...residency.all].filter(isIdle),
      (residence) =>
        value.evictionLoss(
          now,
          residence.key,
          engineRequests.findReady(residence.key),
        ),
    );
  }

  /**
   * Computes the factor by which a wish gains weight against past demand once
   * its oldest request is overdue. Past demand decays over minutes, which is
   * too long for a request to wait.
   */
  #overdueFactor(now: Instant, wish: LoadWish): number {
    const queue = this.#parts.engineRequests.blocked.find(wish.key);
    const oldest = queue?.requests.values().next().value;
    if (oldest === undefined) return 1;
    return 1 + Math.max(0, now - oldest.deadline) / oldest.target;
  }

  #isWanted(key: AdapterKey): boolean {
    return this.#parts.residency.find(key) === undefined &&
      !this.#awaitingEviction.has(key);
  }

  #waitingWish(now: Instant, queue: AdapterQueue): LoadWish | undefined {
    if (!this.#isWanted(queue.key)) return undefined;
    if (this.#backoff.allowedAt(now, queue.key) > now) return undefined;
    const { engine, value } = this.#parts;
    return {
      engine,
      key: queue.key,
      adapter: queue.adapter,
      purpose: "waiting",
      urgency: queueUrgency(now, queue) + value.absenceCost(now, queue.key),
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

function minimumUrgency(
  wish: LoadWish,
  victim: EvictionCandidate<Residence>,
): number {
  return wish.purpose === "prefetch"
    ? MINIMUM_PREFETCH_RATIO * victim.cost
    : victim.cost;
}

function keepMostUrgent(wishes: LoadWish[], wish: LoadWish): void {
  const last = wishes[MAXIMUM_WISHES - 1];
  if (last !== undefined && last.urgency >= wish.urgency) return;
  wishes.push(wish);
  wishes.sort((left, right) => right.urgency - left.urgency);
  if (wishes.length > MAXIMUM_WISHES) wishes.pop();
}
