import { build, type Histogram } from "hdr-histogram-js";

const NANOSECONDS_PER_MICROSECOND = 1_000;
const HIGHEST_NANOSECONDS = 10_000_000_000;

/** Measures the processor time that a policy's decisions take. */
export class DecisionClock {
  readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_NANOSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  #spentMicroseconds = 0;
  #decisions = 0;

  /** The mean time of a decision in microseconds. */
  get meanMicroseconds(): number {
    return this.#spentMicroseconds / Math.max(1, this.#decisions);
  }

  /** How many decisions were measured. */
  get decisions(): number {
    return this.#decisions;
  }

  /**
   * Gives a quantile of the decisions' times.
   * @param percentile From 0 to 100.
   * @returns Microseconds.
   */
  percentileMicroseconds(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) /
      NANOSECONDS_PER_MICROSECOND;
  }

  /**
   * Measures one decision.
   * @param decide The decision.
   * @returns What it gave.
   */
  measure<Value>(decide: () => Value): Value {
    const start = process.hrtime.bigint();
    const value = decide();
    const spent = Number(process.hrtime.bigint() - start);
    this.histogram.recordValue(Math.max(1, spent));
    this.#spentMicroseconds += spent / NANOSECONDS_PER_MICROSECOND;
    this.#decisions += 1;
    return value;
  }
}
