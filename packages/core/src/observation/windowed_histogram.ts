import { build, type Histogram } from "hdr-histogram-js";
import { CountStage } from "./count_stage.ts";
import type { HistogramWindow } from "./measure.ts";

const SIGNIFICANT_DIGITS = 2;
const SHORT_COUNT_BITS = 32;
const LONG_COUNT_BITS = 64;

/** The largest value kept; larger ones count as this one. */
export const MAXIMUM_HISTOGRAM_VALUE = 36_000_000;

/**
 * Makes an empty histogram whose counts last for years.
 * @returns The histogram; it grows with the values recorded.
 */
export function emptyHistogram(): Histogram {
  return build({
    bitBucketSize: LONG_COUNT_BITS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function shortHistogram(): Histogram {
  return build({
    bitBucketSize: SHORT_COUNT_BITS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/**
 * Counts values over two windows. A value is recorded once, in the current
 * period; a period that ends is added to the total since start.
 */
export class WindowedHistogram {
  #current = shortHistogram();
  #previous: Histogram | undefined;
  #ended: Histogram | undefined;
  readonly #stage: CountStage | undefined;

  /** @param frequent Whether values come so often that they are staged. */
  constructor(frequent = false) {
    this.#stage = frequent ? new CountStage() : undefined;
  }

  /** An upper estimate of its memory. */
  get bytes(): number {
    return this.#current.estimatedFootprintInBytes +
      (this.#previous?.estimatedFootprintInBytes ?? 0) +
      (this.#ended?.estimatedFootprintInBytes ?? 0) +
      (this.#stage?.bytes ?? 0);
  }

  /**
   * Counts a value.
   * @param value A whole number that is not negative.
   * @param count How many times it occurred.
   */
  record(value: number, count: number): void {
    if (this.#stage?.add(value, count) === true) return;
    const kept = value < MAXIMUM_HISTOGRAM_VALUE
      ? value
      : MAXIMUM_HISTOGRAM_VALUE;
    if (count === 1) this.#current.recordValue(kept);
    else this.#current.recordValueWithCount(kept, count);
  }

  /** Ends the current period and starts the next. */
  rotate(): void {
    this.#stage?.drainInto(this.#current);
    if (this.#current.totalCount === 0) {
      this.#previous = undefined;
      return;
    }
    this.#ended ??= emptyHistogram();
    this.#ended.add(this.#current);
    this.#previous = this.#current;
    this.#current = shortHistogram();
  }

  /**
   * Takes over the counts of another, so that it can be dropped.
   * @param other The other.
   */
  absorb(other: WindowedHistogram): void {
    this.#current.add(other.read("recent"));
    this.#ended ??= emptyHistogram();
    if (other.#ended === undefined) return;
    this.#ended.add(other.#ended);
    if (other.#previous !== undefined) this.#ended.subtract(other.#previous);
  }

  /**
   * Reads a window.
   * @param window Which.
   * @returns A copy of its counts.
   */
  read(window: HistogramWindow): Histogram {
    this.#stage?.drainInto(this.#current);
    const copy = emptyHistogram();
    copy.add(this.#current);
    const before = window === "recent" ? this.#previous : this.#ended;
    if (before !== undefined) copy.add(before);
    return copy;
  }
}
