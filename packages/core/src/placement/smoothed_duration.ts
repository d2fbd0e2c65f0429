import { type Duration, milliseconds } from "../shared/mod.ts";

/** An exponential moving average of a measured duration. */
export class SmoothedDuration {
  readonly #sampleWeight: number;
  #value: number;

  /**
   * @param initial The value before the first sample.
   * @param sampleWeight The weight of a new sample, 0 to 1.
   */
  constructor(initial: Duration, sampleWeight: number) {
    this.#value = initial;
    this.#sampleWeight = sampleWeight;
  }

  /** The smoothed duration. */
  get value(): Duration {
    return milliseconds(this.#value);
  }

  /**
   * Adds a sample.
   * @param sample A measured duration.
   */
  observe(sample: Duration): void {
    this.#value += this.#sampleWeight * (sample - this.#value);
  }
}
