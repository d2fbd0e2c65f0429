import { type Duration, milliseconds } from "../shared/mod.ts";

/** A measured length of time, smoothed over its latest samples. */
export class SmoothedDuration {
  readonly #share: number;
  #value: number;

  /**
   * @param initial What is assumed before the first sample.
   * @param share How much a new sample weighs, 0 to 1.
   */
  constructor(initial: Duration, share: number) {
    this.#value = initial;
    this.#share = share;
  }

  /** The smoothed length. */
  get value(): Duration {
    return milliseconds(this.#value);
  }

  /**
   * Takes a sample in.
   * @param sample A measured length.
   */
  observe(sample: Duration): void {
    this.#value += this.#share * (sample - this.#value);
  }
}
