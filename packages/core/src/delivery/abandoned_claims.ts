import { type Duration, type Instant, later } from "../shared/mod.ts";

/** Limits on the number and age of remembered claims. */
export interface AbandonedClaimsLimits {
  readonly maximumKeys: number;
  readonly retention: Duration;
}

/**
 * Claims of this incarnation that are proven not to have run. The append of
 * such a claim may still take effect and win the key. A later request may then
 * run under it, but only while the claim is remembered here. Forgetting a claim
 * too early makes the key unusable, but never causes a second run.
 */
export class AbandonedClaims {
  readonly #limits: AbandonedClaimsLimits;
  readonly #expiryByNonce = new Map<string, Instant>();

  /** @param limits The limits on remembered claims. */
  constructor(limits: AbandonedClaimsLimits) {
    this.#limits = limits;
  }

  /**
   * Adds a claim, and removes claims that are expired or in excess.
   * @param now The present time.
   * @param nonce The nonce of the claim.
   */
  add(now: Instant, nonce: string): void {
    this.#expiryByNonce.set(nonce, later(now, this.#limits.retention));
    for (const [oldest, expiresAt] of this.#expiryByNonce) {
      const isFull = this.#expiryByNonce.size > this.#limits.maximumKeys;
      if (!isFull && expiresAt > now) return;
      this.#expiryByNonce.delete(oldest);
    }
  }

  /**
   * Removes a claim so that a request can run under it.
   * @param nonce The nonce of the claim.
   * @returns Whether the claim was present; only then may the request run, and
   * only once.
   */
  take(nonce: string): boolean {
    return this.#expiryByNonce.delete(nonce);
  }
}
