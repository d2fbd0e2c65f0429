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

const FAST = seconds(10);
const SLOW = seconds(900);
const MILLISECONDS_PER_SECOND = 1_000;
/** So many arrivals in the fast window may be chance. */
const CHANCE_ARRIVALS = 2;
/** The upper 95% bound on the count of events of which none was seen. */
const SILENCE_WEIGHT = 1;
const LEAST_SILENCE = milliseconds(1);
const DEFAULT_LIMIT = 8_192;
const MOST_ASKED = 64;

/** How much an adapter is asked for, at two time scales. */
export class AdapterDemand {
  readonly adapter: AdapterReference;
  readonly #fastArrivals = new DecayedCounter(FAST);
  readonly #fastPressure = new DecayedCounter(FAST);
  readonly #slowPressure = new DecayedCounter(SLOW);

  #lastArrival = CLOCK_START;
  /** The inverse of the shortest target asked for, in seconds. */
  #tightness = 0;

  /** @param adapter The adapter. */
  constructor(adapter: AdapterReference) {
    this.adapter = adapter;
  }

  /**
   * Counts an arrival.
   * @param now The present time.
   * @param target The target of its class for the first token.
   */
  arrived(now: Instant, target: Duration): void {
    const tightness = MILLISECONDS_PER_SECOND / Math.max(1, target);
    this.#lastArrival = now;
    this.#tightness = Math.max(tightness, this.#tightness);
    this.#fastArrivals.add(now, 1);
    this.#fastPressure.add(now, tightness);
    this.#slowPressure.add(now, tightness);
  }

  /**
   * Estimates the arrivals a second of the last seconds.
   * @param now The present time.
   * @returns Arrivals a second.
   */
  arrivalRate(now: Instant): number {
    return MILLISECONDS_PER_SECOND * this.#fastArrivals.value(now) / FAST;
  }

  /**
   * Estimates the arrivals a second, each divided by its target in seconds:
   * the cost that a second of stall adds, each second.
   * @param now The present time.
   * @returns Target lengths of waiting a second, for each second of stall.
   */
  pressure(now: Instant): number {
    return Math.min(this.#expectedPressure(now), this.#mostPressure(now));
  }

  /** By the rule of three: a silence this long makes more than that unlikely. */
  #mostPressure(now: Instant): number {
    const silence = Math.max(LEAST_SILENCE, now - this.#lastArrival);
    return SILENCE_WEIGHT * MILLISECONDS_PER_SECOND * this.#tightness / silence;
  }

  #expectedPressure(now: Instant): number {
    const slow = MILLISECONDS_PER_SECOND * this.#slowPressure.value(now) / SLOW;
    const arrivals = this.#fastArrivals.value(now);
    if (arrivals <= CHANCE_ARRIVALS) return slow;
    const sure = 1 - CHANCE_ARRIVALS / arrivals;
    const fast = MILLISECONDS_PER_SECOND * this.#fastPressure.value(now) / FAST;
    return Math.max(slow, sure * fast);
  }
}

/**
 * Knows the demand for the adapters that were asked for lately. Adapters that
 * nobody asks for fall out, so its size does not grow with their number.
 */
export class DemandTracker {
  readonly #limit: number;
  readonly #demands = new Map<AdapterKey, AdapterDemand>();
  /** Those asked for since the last visit. */
  readonly #asked = new Map<AdapterKey, AdapterDemand>();

  /** @param limit How many adapters to keep. */
  constructor(limit: number = DEFAULT_LIMIT) {
    this.#limit = limit;
  }

  /** How many adapters are known. */
  get size(): number {
    return this.#demands.size;
  }

  /**
   * Counts an arrival.
   * @param now The present time.
   * @param arrival The adapter, its key, and the target of the class.
   */
  arrived(
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
    demand.arrived(now, target);
    this.#asked.set(key, demand);
    if (this.#asked.size > MOST_ASKED) forgetFirst(this.#asked);
    if (this.#demands.size > this.#limit) forgetFirst(this.#demands);
  }

  /**
   * Finds the demand for an adapter.
   * @param key The adapter.
   * @returns The demand, or nothing for one of the idle tail.
   */
  find(key: AdapterKey): AdapterDemand | undefined {
    return this.#demands.get(key);
  }

  /**
   * Goes through the adapters that were asked for since the last call.
   * @param visit Called for each; of very many, only for the latest.
   */
  visitAsked(
    visit: (key: AdapterKey, demand: AdapterDemand) => void,
  ): void {
    for (const [key, demand] of this.#asked) visit(key, demand);
    this.#asked.clear();
  }
}

function forgetFirst<Key>(map: Map<Key, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
