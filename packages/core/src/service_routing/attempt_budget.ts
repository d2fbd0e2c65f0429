/**
 * A token bucket that limits extra attempts to a fraction of the calls, so that
 * retries cannot multiply the load of a service that is already failing.
 */
export class AttemptBudget {
  readonly #tokensPerCall: number;
  readonly #capacity: number;
  #tokens: number;

  /**
   * @param tokensPerCall Tokens added by each call; an extra attempt costs one.
   * @param capacity The maximum number of tokens, available from the start.
   */
  constructor(tokensPerCall: number, capacity: number) {
    this.#tokensPerCall = tokensPerCall;
    this.#capacity = capacity;
    this.#tokens = capacity;
  }

  /** Adds the tokens of one call. */
  deposit(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#tokensPerCall);
  }

  /**
   * Withdraws the token for one extra attempt.
   * @returns Whether a token was available.
   */
  tryWithdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
