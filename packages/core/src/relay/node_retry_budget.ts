import type { Duration, Instant } from "../shared/mod.ts";

/**
 * The retries that all nodes together may send beyond the first attempt of each
 * request.
 */
export interface RetryBudgetLimits {
  /** Retries allowed per request in the window. */
  readonly retriesPerRequest: number;
  /** Retries allowed per window beside the share, over all nodes. */
  readonly reserve: number;
  readonly window: Duration;
  /**
   * Before this time, a restarted node leaves the reserve unused: its earlier
   * run may have spent its part within the same window.
   */
  readonly reserveFrom?: Instant;
}

/**
 * The share of its budget that a node uses: windows slide, and whoever checks
 * the limit may count requests a little later than this node does.
 */
const SAFETY_FACTOR = 0.85;

/**
 * Limits one node's retries to a service. The share grows with the node's own
 * requests; the reserve is split evenly among the nodes.
 */
export class NodeRetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #requests: Instant[] = [];
  readonly #retries: Instant[] = [];

  /** @param limits The limits for all nodes together. */
  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  /**
   * Records a request.
   * @param now The present time.
   */
  recordRequest(now: Instant): void {
    this.#dropExpired(now);
    this.#requests.push(now);
  }

  /**
   * Takes a retry from the budget.
   * @param now The present time.
   * @param nodes The number of nodes that share the reserve, at least 1.
   * @returns Whether the retry is allowed.
   */
  tryTake(now: Instant, nodes: number): boolean {
    this.#dropExpired(now);
    const { retriesPerRequest: share, reserve, reserveFrom = now } =
      this.#limits;
    const reservePart = now >= reserveFrom ? reserve / nodes : 0;
    const allowed = share * this.#requests.length + reservePart;
    if (this.#retries.length + 1 > allowed * SAFETY_FACTOR) return false;
    this.#retries.push(now);
    return true;
  }

  /**
   * Counts what the node has recorded in the window.
   * @param now The present time.
   * @returns The requests, and the retries taken.
   */
  counts(
    now: Instant,
  ): { readonly requests: number; readonly retries: number } {
    this.#dropExpired(now);
    return { requests: this.#requests.length, retries: this.#retries.length };
  }

  #dropExpired(now: Instant): void {
    dropUntil(this.#requests, now - this.#limits.window);
    dropUntil(this.#retries, now - this.#limits.window);
  }
}

/**
 * Removes the leading instants up to and including a time from a sorted list.
 */
function dropUntil(instants: Instant[], end: number): void {
  const firstKept = instants.findIndex((at) => at > end);
  instants.splice(0, firstKept === -1 ? instants.length : firstKept);
}
