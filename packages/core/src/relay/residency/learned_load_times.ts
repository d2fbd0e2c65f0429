import { type Duration, milliseconds } from "../../shared/mod.ts";

/** Time to load an adapter from the store before any was measured. */
const COLD_LOAD_TIME = milliseconds(250);
/** The same for an adapter that the engine still caches. */
const WARM_LOAD_TIME = milliseconds(30);
/** Weight of a newly measured load. */
const SAMPLE_WEIGHT = 0.3;
/**
 * The share of its excess over the initial time that an estimate loses with
 * each load that was done when first checked: how long before is not known.
 */
const DECAY = 0.01;
/** A single load counts as at most this many times the estimate. */
const MAXIMUM_GROWTH = 2;

/** Whether the engine's cache or the store provides an adapter. */
export type LoadSource = "cache" | "store";

/** How a load that has completed was measured. */
export interface MeasuredLoad {
  /** Whether its first check found it done. */
  readonly wasDoneAtFirstCheck: boolean;
  /** From its order to the middle between the last two checks. */
  readonly took: Duration;
}

/** Moving estimates of how long one engine takes to load an adapter. */
export class LearnedLoadTimes {
  readonly #estimates: Record<LoadSource, number> = {
    cache: WARM_LOAD_TIME,
    store: COLD_LOAD_TIME,
  };

  /**
   * Estimates the time of a load.
   * @param source Where the adapter comes from.
   * @returns The time.
   */
  estimate(source: LoadSource): Duration {
    return milliseconds(Math.round(this.#estimates[source]));
  }

  /**
   * Tells from its time where an adapter was loaded from.
   * @param took How long the load took.
   * @returns The source.
   */
  sourceOf(took: Duration): LoadSource {
    const { cache, store } = this.#estimates;
    return took < Math.sqrt(cache * store) ? "cache" : "store";
  }

  /**
   * Applies a measured load.
   * @param source Where the adapter came from.
   * @param load The load.
   */
  record(source: LoadSource, load: MeasuredLoad): void {
    const estimate = this.#estimates[source];
    if (load.wasDoneAtFirstCheck) {
      const initial = source === "cache" ? WARM_LOAD_TIME : COLD_LOAD_TIME;
      this.#estimates[source] -= DECAY * Math.max(0, estimate - initial);
      return;
    }
    const sample = Math.min(load.took, MAXIMUM_GROWTH * estimate);
    this.#estimates[source] += SAMPLE_WEIGHT * Math.max(0, sample - estimate);
  }
}
