import type { EnginePlaces } from "./admission/place_turnover.ts";

/**
 * The share of an engine's concurrent requests from which it counts as full:
 * above it, the engine's own queue begins to hold requests back, and further
 * ones wait less elsewhere.
 */
const FULL_OCCUPANCY = 0.8;
/**
 * Running requests delay a new one by the square of their number times this
 * many milliseconds: little while the engine has capacity to spare, and more
 * than a load elsewhere once it is behind its peers.
 */
const CONTENTION_FACTOR = 0.25;

/** The requests running on one engine, as granted by its owner. */
export class EngineOccupancy {
  #running = 0;

  /** The number of running requests. */
  get running(): number {
    return this.#running;
  }

  /** Records the start of a request. */
  begin(): void {
    this.#running += 1;
  }

  /** Records the end of a request. */
  end(): void {
    this.#running -= 1;
  }

  /**
   * Checks whether the engine should accept no further requests.
   * @param places The number of requests that it runs concurrently.
   * @returns Whether it is full.
   */
  isFull(places: number): boolean {
    return this.#running >= places * FULL_OCCUPANCY;
  }

  /**
   * Returns the places that are given out, and how many of them are free.
   * @param places The number of requests that the engine runs concurrently.
   * @returns The places.
   */
  places(places: number): EnginePlaces {
    const total = Math.ceil(places * FULL_OCCUPANCY);
    return { total, free: total - this.#running };
  }

  /**
   * The delay of a further request due to the running ones, in milliseconds.
   */
  get contentionDelay(): number {
    return CONTENTION_FACTOR * this.#running ** 2;
  }
}
