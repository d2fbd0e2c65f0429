import { type Duration, type Instant, later } from "../shared/mod.ts";

/** How many claims are remembered, and how long. */
export interface AbandonedClaimsLimits {
  readonly maximumKeys: number;
  readonly retention: Duration;
}

/**
 * Claims of this incarnation that are proven not to have run. The append of
 * one may still take effect: it then wins its key, and only because it is
 * remembered here may a later request run on it. A claim forgotten too early
 * costs its key, never a second run.
 */
export class AbandonedClaims {
  readonly #limits: AbandonedClaimsLimits;
  readonly #until = new Map<string, Instant>();

  /** @param limits What is remembered. */
  constructor(limits: AbandonedClaimsLimits) {
    this.#limits = limits;
  }

  /**
   * Remembers a claim.
   * @param now The present time.
   * @param nonce The claim.
   */
  add(now: Instant, nonce: string): void {
    this.#until.set(nonce, later(now, this.#limits.retention));
    for (const [oldest, until] of this.#until) {
      const isFull = this.#until.size > this.#limits.maximumKeys;
      if (!isFull && until > now) return;
      this.#until.delete(oldest);
    }
  }

  /**
   * Takes a claim to run on it.
   * @param nonce The claim.
   * @returns Whether it was there; only then may it run, and only once.
   */
  take(nonce: string): boolean {
    return this.#until.delete(nonce);
  }
}
