import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random decisions that repeat with the seed. */
export class SeededRandom {
  readonly #generator;

  /** @param seed The same seed gives the same decisions. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Draws a number.
   * @returns At least 0 and below 1.
   */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /**
   * Decides by chance.
   * @param probability 0 for never, 1 for always.
   * @returns Whether it happens.
   */
  happens(probability: number): boolean {
    return probability > 0 && this.next() < probability;
  }
}
