import type { Histogram } from "hdr-histogram-js";

/** Values below this are counted by index. */
const STAGED_VALUES = 2_048;

/**
 * Counts small values by index, for paths that are too frequent to record in
 * a histogram directly, and hands them to a histogram now and then.
 */
export class CountStage {
  readonly #counts = new Uint32Array(STAGED_VALUES);
  #used = false;

  /** Its memory. */
  get bytes(): number {
    return this.#counts.byteLength;
  }

  /**
   * Counts a value if it is small enough.
   * @param value A whole number that is not negative.
   * @param count How many times it occurred.
   * @returns Whether it was counted.
   */
  add(value: number, count: number): boolean {
    if (value >= STAGED_VALUES) return false;
    this.#counts[value] = (this.#counts[value] ?? 0) + count;
    this.#used = true;
    return true;
  }

  /**
   * Moves all counts to a histogram.
   * @param histogram The histogram.
   */
  drainInto(histogram: Histogram): void {
    if (!this.#used) return;
    for (const [value, count] of this.#counts.entries()) {
      if (count > 0) histogram.recordValueWithCount(value, count);
    }
    this.#counts.fill(0);
    this.#used = false;
  }
}
