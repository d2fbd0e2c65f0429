import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Samples ranks with a Zipf distribution. */
export class ZipfSampler {
  readonly #cumulativeWeights: Float64Array;

  /**
   * @param count The number of ranks.
   * @param exponent The exponent of the distribution; 0 is uniform.
   */
  constructor(count: number, exponent: number) {
    this.#cumulativeWeights = new Float64Array(count);
    let sum = 0;
    for (let rank = 0; rank < count; rank += 1) {
      sum += (rank + 1) ** -exponent;
      this.#cumulativeWeights[rank] = sum;
    }
  }

  /**
   * Samples a rank.
   * @param random The random number generator.
   * @returns A rank from 0, which is the most frequent.
   */
  next(random: RandomGenerator): number {
    const last = this.#cumulativeWeights.length - 1;
    const target = uniformFloat64(random) *
      (this.#cumulativeWeights[last] ?? 0);
    let low = 0;
    let high = last;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#cumulativeWeights[middle] ?? 0) < target) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
