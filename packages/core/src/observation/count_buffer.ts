import type { Histogram } from "hdr-histogram-js";

/** Values below this limit are counted in an array indexed by value. */
const BUFFERED_VALUES = 2_048;

/**
 * Buffers counts of small values in an array, for code paths that run too
 * often to record in a histogram directly. The counts are periodically flushed
 * into a histogram.
 */
export class CountBuffer {
  readonly #counts = new Uint32Array(BUFFERED_VALUES);
  #hasCounts = false;

  /** Its memory in bytes. */
  get bytes(): number {
    return this.#counts.byteLength;
  }

  /**
   * Counts a value if it is below the limit.
   * @param value A non-negative integer.
   * @param count The number of occurrences.
   * @returns Whether it was counted.
   */
  add(value: number, count: number): boolean {
    if (value >= BUFFERED_VALUES) return false;
    this.#counts[value] = (this.#counts[value] ?? 0) + count;
    this.#hasCounts = true;
    return true;
  }

  /**
   * Moves all counts to a histogram.
   * @param histogram The histogram.
   */
  flushInto(histogram: Histogram): void {
    if (!this.#hasCounts) return;
    for (const [value, count] of this.#counts.entries()) {
      if (count > 0) histogram.recordValueWithCount(value, count);
    }
    this.#counts.fill(0);
    this.#hasCounts = false;
  }
}
