/** Limits a rate, with bursts up to one second's worth. */
export class TokenBucket {
  readonly #perSecond: number;
  readonly #capacity: number;
  #tokens: number;
  #updatedAt: number;

  /**
   * @param perSecond The rate.
   * @param now Milliseconds of a steady clock.
   */
  constructor(perSecond: number, now: number) {
    this.#perSecond = perSecond;
    this.#capacity = Math.max(1, perSecond);
    this.#tokens = this.#capacity;
    this.#updatedAt = now;
  }

  /**
   * Takes one token where there is one.
   * @param now Milliseconds of the same clock.
   * @returns 0 when taken, else how long until there is one.
   */
  take(now: number): number {
    const gained = (now - this.#updatedAt) / 1_000 * this.#perSecond;
    this.#tokens = Math.min(this.#capacity, this.#tokens + gained);
    this.#updatedAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return (1 - this.#tokens) / this.#perSecond * 1_000;
  }
}
