import type { Duration, Instant } from "../shared/mod.ts";

/** An exponentially decaying count: weights are `exp(-age / timeConstant)`. */
export class DecayedCounter {
  readonly #timeConstant: Duration;
  #value = 0;
  #updatedAt = 0;

  /** @param timeConstant Time after which a count has decayed to 1/e. */
  constructor(timeConstant: Duration) {
    this.#timeConstant = timeConstant;
  }

  /**
   * Adds to the count.
   * @param now The present time.
   * @param amount The amount to add.
   */
  add(now: Instant, amount: number): void {
    this.#value = this.value(now) + amount;
    this.#updatedAt = now;
  }

  /**
   * Reads the count.
   * @param now The present time.
   * @returns The decayed count.
   */
  value(now: Instant): number {
    if (this.#value === 0) return 0;
    return this.#value * Math.exp((this.#updatedAt - now) / this.#timeConstant);
  }
}
