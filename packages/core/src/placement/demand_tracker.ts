import {
  type AdapterKey,
  type AdapterReference,
  type Duration,
  type Instant,
  seconds,
} from "../shared/mod.ts";
import { DecayedCounter } from "./decayed_counter.ts";

const FAST = seconds(10);
const SLOW = seconds(300);
const MILLISECONDS_PER_SECOND = 1_000;
/** So many arrivals in the fast window may be chance. */
const CHANCE_ARRIVALS = 2;
const DEFAULT_LIMIT = 8_192;

/** How much an adapter is asked for, at two time scales. */
export class AdapterDemand {
  readonly adapter: AdapterReference;
  readonly #fastArrivals = new DecayedCounter(FAST);
  readonly #fastPressure = new DecayedCounter(FAST);
  readonly #slowPressure = new DecayedCounter(SLOW);

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
  #cursor: Iterator<[AdapterKey, AdapterDemand]> | undefined;

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
    if (this.#demands.size > this.#limit) this.#forgetOldest();
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
   * Goes on through the known adapters, a few at each call, round and round.
   * @param count How many to visit.
   * @param visit Called for each.
   */
  visitNext(
    count: number,
    visit: (key: AdapterKey, demand: AdapterDemand) => void,
  ): void {
    for (let visited = 0; visited < count; visited += 1) {
      this.#cursor ??= this.#demands.entries();
      const next = this.#cursor.next();
      if (next.done === true) {
        this.#cursor = undefined;
        return;
      }
      visit(next.value[0], next.value[1]);
    }
  }

  #forgetOldest(): void {
    const oldest = this.#demands.keys().next();
    if (oldest.done !== true) this.#demands.delete(oldest.value);
  }
}
