import { elapsed, type Instant } from "../../shared/mod.ts";

/** The time after which an earlier request counts for 1/e. */
const TIME_CONSTANT_MILLISECONDS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Measures a rate as an exponentially weighted moving average. */
export class DemandMeter {
  #amount = 0;
  #at: Instant;

  /** @param now The present time. */
  constructor(now: Instant) {
    this.#at = now;
  }

  /**
   * Records a demand.
   * @param now The present time.
   * @param amount How much was asked for.
   */
  record(now: Instant, amount: number): void {
    this.#decay(now);
    this.#amount += amount;
  }

  /**
   * Returns the rate of the demand.
   * @param now The present time.
   * @returns The rate per second.
   */
  rate(now: Instant): number {
    this.#decay(now);
    return this.#amount * MILLISECONDS_PER_SECOND / TIME_CONSTANT_MILLISECONDS;
  }

  #decay(now: Instant): void {
    const age = elapsed(this.#at, now) / TIME_CONSTANT_MILLISECONDS;
    this.#amount *= Math.exp(-age);
    this.#at = now;
  }
}
