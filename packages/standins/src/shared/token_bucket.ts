/**
 * A rate limiter that allows bursts of up to one second's tokens, at least one.
 */
export class TokenBucket {
  readonly #tokensPerSecond: number;
  readonly #capacity: number;
  #tokens: number;
  #updatedAt: number;

  /**
   * @param tokensPerSecond The rate.
   * @param now A monotonic clock reading in milliseconds.
   */
  constructor(tokensPerSecond: number, now: number) {
    this.#tokensPerSecond = tokensPerSecond;
    this.#capacity = Math.max(1, tokensPerSecond);
    this.#tokens = this.#capacity;
    this.#updatedAt = now;
  }

  /**
   * Takes one token if available.
   * @param now A reading of the same clock in milliseconds.
   * @returns 0 if taken, else the milliseconds until a token is available.
   */
  tryTake(now: number): number {
    const gained = (now - this.#updatedAt) / 1_000 * this.#tokensPerSecond;
    this.#tokens = Math.min(this.#capacity, this.#tokens + gained);
    this.#updatedAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return (1 - this.#tokens) / this.#tokensPerSecond * 1_000;
  }
}
