/** Limits retries to a share of the requests, so that they don't pile up. */
export class RetryBudget {
  readonly #share: number;
  readonly #maximum: number;
  #tokens: number;

  /**
   * @param options The share of a retry that each request earns, and the
   * maximum number of saved retries.
   */
  constructor(options: { readonly share: number; readonly maximum: number }) {
    this.#share = options.share;
    this.#maximum = options.maximum;
    this.#tokens = options.maximum;
  }

  /** Adds the share of a retry that a new request earns. */
  earn(): void {
    this.#tokens = Math.min(this.#maximum, this.#tokens + this.#share);
  }

  /**
   * Takes one retry from the budget.
   * @returns Whether a retry was available.
   */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
