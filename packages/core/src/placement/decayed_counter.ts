import type { Duration, Instant } from "../shared/mod.ts";

/** A count whose past weighs less with time: `exp(-age / timeConstant)`. */
export class DecayedCounter {
  readonly #timeConstant: Duration;
  #value = 0;
  #at = 0;

  /** @param timeConstant After which time a count weighs 1/e. */
  constructor(timeConstant: Duration) {
    this.#timeConstant = timeConstant;
  }

  /**
   * Adds to the count.
   * @param now The present time.
   * @param amount How much.
   */
  add(now: Instant, amount: number): void {
    this.#value = this.value(now) + amount;
    this.#at = now;
  }

  /**
   * Reads the count.
   * @param now The present time.
   * @returns The decayed count.
   */
  value(now: Instant): number {
    if (this.#value === 0) return 0;
    return this.#value * Math.exp((this.#at - now) / this.#timeConstant);
  }
}
