import { build, type Histogram } from "hdr-histogram-js";
import { CountBuffer } from "./count_buffer.ts";
import type { HistogramWindow } from "./measure.ts";

const SIGNIFICANT_DIGITS = 2;
const SHORT_COUNT_BITS = 32;
const LONG_COUNT_BITS = 64;

/** The largest recorded value; larger values are clamped to it. */
export const MAXIMUM_HISTOGRAM_VALUE = 36_000_000;

/**
 * Creates an empty histogram whose counters suffice for years.
 * @returns The histogram; it grows with the recorded values.
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
 * Records values over two windows. A value is recorded once, in the current
 * period. When a period ends, it is added to the total since the start.
 */
export class WindowedHistogram {
  #current = shortHistogram();
  #previous: Histogram | undefined;
  /** The sum of all ended periods. */
  #ended: Histogram | undefined;
  readonly #buffer: CountBuffer | undefined;

  /** @param isFrequent Whether values arrive often enough to be buffered. */
  constructor(isFrequent = false) {
    this.#buffer = isFrequent ? new CountBuffer() : undefined;
  }

  /** An upper estimate of its memory in bytes. */
  get bytes(): number {
    return this.#current.estimatedFootprintInBytes +
      (this.#previous?.estimatedFootprintInBytes ?? 0) +
      (this.#ended?.estimatedFootprintInBytes ?? 0) +
      (this.#buffer?.bytes ?? 0);
  }

  /**
   * Records a value.
   * @param value A non-negative integer.
   * @param count The number of occurrences.
   */
  record(value: number, count: number): void {
    if (this.#buffer?.add(value, count) === true) return;
    const clamped = value < MAXIMUM_HISTOGRAM_VALUE
      ? value
      : MAXIMUM_HISTOGRAM_VALUE;
    if (count === 1) this.#current.recordValue(clamped);
    else this.#current.recordValueWithCount(clamped, count);
  }

  /** Ends the current period and starts the next. */
  rotate(): void {
    this.#buffer?.flushInto(this.#current);
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
   * Adds the counts of another histogram, so that it can be discarded.
   * @param other The other histogram.
   */
  merge(other: WindowedHistogram): void {
    this.#current.add(other.read("recent"));
    this.#ended ??= emptyHistogram();
    if (other.#ended === undefined) return;
    this.#ended.add(other.#ended);
    if (other.#previous !== undefined) this.#ended.subtract(other.#previous);
  }

  /**
   * Reads a window.
   * @param window The window.
   * @returns A copy of its counts.
   */
  read(window: HistogramWindow): Histogram {
    this.#buffer?.flushInto(this.#current);
    const copy = emptyHistogram();
    copy.add(this.#current);
    const earlier = window === "recent" ? this.#previous : this.#ended;
    if (earlier !== undefined) copy.add(earlier);
    return copy;
  }
}
