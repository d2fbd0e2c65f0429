import { type Duration, milliseconds } from "../../shared/mod.ts";

/** The places of an engine that are given out. */
export interface EnginePlaces {
  readonly total: number;
  readonly free: number;
}

/** Assumed of an engine on which no use has ended yet. */
const INITIAL_USE_MILLISECONDS = 400;
/** The weight of the newest use in the mean. */
const NEWEST_WEIGHT = 0.05;

/** How long uses of one engine last, and so how soon its places become free. */
export class PlaceTurnover {
  #mean = INITIAL_USE_MILLISECONDS;

  /** How long a use lasts on the average. */
  get useTime(): Duration {
    return milliseconds(this.#mean);
  }

  /**
   * Records a use that has ended.
   * @param duration How long it lasted.
   */
  observe(duration: Duration): void {
    this.#mean += NEWEST_WEIGHT * (duration - this.#mean);
  }

  /**
   * Estimates the wait for a place.
   * @param ahead The number of requests that get a place first.
   * @param places The engine's places.
   * @returns The wait; 0 if there are enough free places.
   */
  wait(ahead: number, places: EnginePlaces): Duration {
    const missing = ahead + 1 - places.free;
    if (missing <= 0) return milliseconds(0);
    return milliseconds(missing * this.#mean / Math.max(1, places.total));
  }
}
