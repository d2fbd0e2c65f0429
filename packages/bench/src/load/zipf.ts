import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Draws ranks whose popularity falls as a power of the rank. */
export class ZipfSampler {
  readonly #cumulative: Float64Array;

  /**
   * @param count How many ranks there are.
   * @param exponent How fast popularity falls; 0 is uniform.
   */
  constructor(count: number, exponent: number) {
    this.#cumulative = new Float64Array(count);
    let sum = 0;
    for (let rank = 0; rank < count; rank += 1) {
      sum += (rank + 1) ** -exponent;
      this.#cumulative[rank] = sum;
    }
  }

  /**
   * Draws a rank.
   * @param random The generator.
   * @returns A rank from 0, the most popular.
   */
  next(random: RandomGenerator): number {
    const last = this.#cumulative.length - 1;
    const drawn = uniformFloat64(random) * (this.#cumulative[last] ?? 0);
    let low = 0;
    let high = last;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#cumulative[middle] ?? 0) < drawn) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
