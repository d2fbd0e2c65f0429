import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/** How long the longest patience of a route is remembered, at least. */
const MEMORY = milliseconds(10_000);

interface Longest {
  readonly since: Instant;
  readonly current: number;
  /** The longest of the span before. */
  readonly before: number;
}

/**
 * Learns how patient the callers of each route are. One that states less than
 * the others has most likely waited for the difference, in tries before this
 * one, of which nothing else tells.
 */
export class CallerPatience {
  readonly #longest = new Map<string, Longest>();

  /**
   * Takes note of a caller's patience and estimates its wait so far.
   * @param now The present time.
   * @param route The name of the route.
   * @param patience How long the caller waits from now on.
   * @returns How long it has waited before.
   */
  waitedBefore(now: Instant, route: string, patience: Duration): Duration {
    const known = this.#longest.get(route) ??
      { since: now, current: 0, before: 0 };
    const isOver = elapsed(known.since, now) >= MEMORY;
    const current = Math.max(isOver ? 0 : known.current, patience);
    const before = isOver ? known.current : known.before;
    this.#longest.set(route, {
      since: isOver ? now : known.since,
      current,
      before,
    });
    return milliseconds(Math.max(current, before) - patience);
  }
}
