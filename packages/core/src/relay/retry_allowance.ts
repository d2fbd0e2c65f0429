import type { Duration, Instant } from "../shared/mod.ts";

/** What all nodes together may send beyond the first send of each request. */
export interface RetryTerms {
  /** Further sends for each request of the window. */
  readonly share: number;
  /** Further sends of a window beside the share, over all nodes. */
  readonly reserve: number;
  readonly window: Duration;
  /**
   * Before it, a node that has started again leaves the reserve alone: its
   * earlier run may have spent its part within the same window.
   */
  readonly reserveFrom?: Instant;
}

/**
 * How much of its part a node uses: windows slide, and requests may be
 * counted a little later by whoever checks than they are counted here.
 */
const CAUTION = 0.85;

/**
 * Bounds one node's further sends to a service. The share grows with the
 * node's own requests; the reserve is split evenly among the nodes.
 */
export class RetryAllowance {
  readonly #terms: RetryTerms;
  readonly #requests: Instant[] = [];
  readonly #retries: Instant[] = [];

  /** @param terms The bound for all nodes together. */
  constructor(terms: RetryTerms) {
    this.#terms = terms;
  }

  /**
   * Takes note of a request.
   * @param now The present time.
   */
  earn(now: Instant): void {
    this.#forget(now);
    this.#requests.push(now);
  }

  /**
   * Takes a further send from the allowance.
   * @param now The present time.
   * @param nodes How many nodes share the reserve, at least 1.
   * @returns Whether the send is allowed.
   */
  take(now: Instant, nodes: number): boolean {
    this.#forget(now);
    const { share, reserve, reserveFrom = now } = this.#terms;
    const part = now >= reserveFrom ? reserve / nodes : 0;
    const earned = share * this.#requests.length + part;
    if (this.#retries.length + 1 > earned * CAUTION) return false;
    this.#retries.push(now);
    return true;
  }

  #forget(now: Instant): void {
    dropBefore(this.#requests, now - this.#terms.window);
    dropBefore(this.#retries, now - this.#terms.window);
  }
}

/** Drops the first of some instants in order, up to a time. */
function dropBefore(instants: Instant[], until: number): void {
  const kept = instants.findIndex((at) => at > until);
  instants.splice(0, kept === -1 ? instants.length : kept);
}
