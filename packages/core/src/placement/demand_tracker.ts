import {
  type AdapterKey,
  type AdapterReference,
  CLOCK_START,
  type Duration,
  type Instant,
  milliseconds,
  seconds,
} from "../shared/mod.ts";
import { DecayedCounter } from "./decayed_counter.ts";

const FAST_TIME_CONSTANT = seconds(10);
const SLOW_TIME_CONSTANT = seconds(900);
const MILLISECONDS_PER_SECOND = 1_000;
/** Number of arrivals in the fast window that may be due to chance. */
const INSIGNIFICANT_ARRIVALS = 2;
/** Upper 95% bound on the expected number of events when none was seen. */
const UNSEEN_EVENT_BOUND = 1;
const MINIMUM_SILENCE = milliseconds(1);
const DEFAULT_MAXIMUM_ADAPTERS = 8_192;
const MAXIMUM_RECENT_ADAPTERS = 64;

/** The demand for an adapter, at two time scales. */
export class AdapterDemand {
  readonly adapter: AdapterReference;
  readonly #fastArrivals = new DecayedCounter(FAST_TIME_CONSTANT);
  readonly #fastPressure = new DecayedCounter(FAST_TIME_CONSTANT);
  readonly #slowPressure = new DecayedCounter(SLOW_TIME_CONSTANT);

  #lastArrival = CLOCK_START;
  /** The inverse of the shortest requested target, per second. */
  #inverseTarget = 0;

  /** @param adapter The adapter. */
  constructor(adapter: AdapterReference) {
    this.adapter = adapter;
  }

  /**
   * Counts an arrival.
   * @param now The present time.
   * @param target The target of its class for the first token.
   */
  recordArrival(now: Instant, target: Duration): void {
    const inverseTarget = MILLISECONDS_PER_SECOND / Math.max(1, target);
    this.#lastArrival = now;
    this.#inverseTarget = Math.max(inverseTarget, this.#inverseTarget);
    this.#fastArrivals.add(now, 1);
    this.#fastPressure.add(now, inverseTarget);
    this.#slowPressure.add(now, inverseTarget);
  }

  /**
   * Estimates the recent arrival rate.
   * @param now The present time.
   * @returns Arrivals per second.
   */
  arrivalRate(now: Instant): number {
    return MILLISECONDS_PER_SECOND * this.#fastArrivals.value(now) /
      FAST_TIME_CONSTANT;
  }

  /**
   * Estimates the arrivals per second, each divided by its target in seconds.
   * This is the cost that each second of stall adds per second.
   * @param now The present time.
   * @returns Waiting time per second, in multiples of the target, for each
   * second of stall.
   */
  pressure(now: Instant): number {
    return Math.min(this.#expectedPressure(now), this.#pressureBound(now));
  }

  /** Upper bound by the rule of three, from the time since the last arrival. */
  #pressureBound(now: Instant): number {
    const silence = Math.max(MINIMUM_SILENCE, now - this.#lastArrival);
    return UNSEEN_EVENT_BOUND * MILLISECONDS_PER_SECOND * this.#inverseTarget /
      silence;
  }

  #expectedPressure(now: Instant): number {
    const slow = MILLISECONDS_PER_SECOND * this.#slowPressure.value(now) /
      SLOW_TIME_CONSTANT;
    const arrivals = this.#fastArrivals.value(now);
    if (arrivals <= INSIGNIFICANT_ARRIVALS) return slow;
    const significantShare = 1 - INSIGNIFICANT_ARRIVALS / arrivals;
    const fast = MILLISECONDS_PER_SECOND * this.#fastPressure.value(now) /
      FAST_TIME_CONSTANT;
    return Math.max(slow, significantShare * fast);
  }
}

/**
 * Tracks the demand for recently requested adapters. Evicts the least recently
 * requested ones, so that its size does not grow with the number of adapters.
 */
export class DemandTracker {
  readonly #maximumAdapters: number;
  readonly #demands = new Map<AdapterKey, AdapterDemand>();
  /** Adapters requested since the last visit. */
  readonly #recentlyRequested = new Map<AdapterKey, AdapterDemand>();

  /** @param maximumAdapters Maximum number of adapters to track. */
  constructor(maximumAdapters: number = DEFAULT_MAXIMUM_ADAPTERS) {
    this.#maximumAdapters = maximumAdapters;
  }

  /** Number of tracked adapters. */
  get size(): number {
    return this.#demands.size;
  }

  /**
   * Counts an arrival.
   * @param now The present time.
   * @param arrival The adapter, its key, and the target of the class.
   */
  recordArrival(
    now: Instant,
    { key, adapter, target }: {
      readonly key: AdapterKey;
      readonly adapter: AdapterReference;
      readonly target: Duration;
    },
  ): void {
    const demand = this.#demands.get(key) ?? new AdapterDemand(adapter);
    this.#demands.delete(key);
    this.#demands.set(key, demand);
    demand.recordArrival(now, target);
    this.#recentlyRequested.set(key, demand);
    if (this.#recentlyRequested.size > MAXIMUM_RECENT_ADAPTERS) {
      deleteOldest(this.#recentlyRequested);
    }
    if (this.#demands.size > this.#maximumAdapters) deleteOldest(this.#demands);
  }

  /**
   * Finds the demand for an adapter.
   * @param key The adapter.
   * @returns The demand, or undefined if the adapter is not tracked.
   */
  find(key: AdapterKey): AdapterDemand | undefined {
    return this.#demands.get(key);
  }

  /**
   * Visits the adapters that were requested since the last visit.
   * @param visit Called for each adapter; if there were too many, only for the
   * most recent ones.
   */
  visitRecentlyRequested(
    visit: (key: AdapterKey, demand: AdapterDemand) => void,
  ): void {
    for (const [key, demand] of this.#recentlyRequested) visit(key, demand);
    this.#recentlyRequested.clear();
  }
}

function deleteOldest<Key>(map: Map<Key, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
