/**
 * Bounds extra attempts to a share of the calls, so that retries cannot
 * multiply the load of a service that is already failing.
 */
export class AttemptBudget {
  readonly #share: number;
  readonly #capacity: number;
  #tokens: number;

  /**
   * @param share Extra attempts earned by each call.
   * @param capacity The most that can be saved up, which is there at start.
   */
  constructor(share: number, capacity: number) {
    this.#share = share;
    this.#capacity = capacity;
    this.#tokens = capacity;
  }

  /** Earns for one call. */
  earn(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#share);
  }

  /**
   * Pays for one extra attempt.
   * @returns Whether the budget allowed it.
   */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
