import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/** The minimum time for which a route's longest timeout is remembered. */
const MINIMUM_MEMORY = milliseconds(10_000);

interface LongestTimeout {
  readonly since: Instant;
  readonly current: number;
  /** The longest timeout of the previous period. */
  readonly previous: number;
}

/**
 * Learns the timeouts that callers of each route state. A caller that states
 * less than others most likely spent the difference in earlier attempts, which
 * the request doesn't mention.
 */
export class CallerTimeouts {
  readonly #longest = new Map<string, LongestTimeout>();

  /**
   * Records a caller's timeout and estimates how long it has waited already.
   * @param now The present time.
   * @param route The name of the route.
   * @param timeout How long the caller waits from now on.
   * @returns How long it has waited before.
   */
  estimateEarlierWait(
    now: Instant,
    route: string,
    timeout: Duration,
  ): Duration {
    const known = this.#longest.get(route) ??
      { since: now, current: 0, previous: 0 };
    const isExpired = elapsed(known.since, now) >= MINIMUM_MEMORY;
    const current = Math.max(isExpired ? 0 : known.current, timeout);
    const previous = isExpired ? known.current : known.previous;
    this.#longest.set(route, {
      since: isExpired ? now : known.since,
      current,
      previous,
    });
    return milliseconds(Math.max(current, previous) - timeout);
  }
}
