import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A random number generator whose results depend only on its seed. */
export class SeededRandom {
  readonly #generator;

  /** @param seed The same seed gives the same numbers. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Draws a uniformly distributed number.
   * @returns A number from 0 to below 1.
   */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /**
   * Draws whether an event of a given probability happens.
   * @param probability 0 for never, 1 for always.
   * @returns Whether it happens.
   */
  happens(probability: number): boolean {
    return probability > 0 && this.next() < probability;
  }
}
