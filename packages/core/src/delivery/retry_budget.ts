/** Bounds retries to a share of the requests, so that they cannot pile up. */
export class RetryBudget {
  readonly #share: number;
  readonly #maximum: number;
  #tokens: number;

  /**
   * @param options The retries allowed for each request, as a share, and how
   * many may be saved up.
   */
  constructor(options: { readonly share: number; readonly maximum: number }) {
    this.#share = options.share;
    this.#maximum = options.maximum;
    this.#tokens = options.maximum;
  }

  /** Takes note of a request, which earns its share of a retry. */
  earn(): void {
    this.#tokens = Math.min(this.#maximum, this.#tokens + this.#share);
  }

  /**
   * Takes a retry from the budget.
   * @returns Whether there was one.
   */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
