import { type Duration, milliseconds } from "../shared/mod.ts";

/** The number of answered requests that are remembered of each route. */
const REMEMBERED_REQUESTS = 256;
/** The number of requests of the most similar length that are compared. */
const COMPARED_REQUESTS = 32;
/** With fewer requests, nothing is known of a route's durations. */
const MINIMUM_REQUESTS = 5;
/** How much longer than those before a request may take. */
const DURATION_MARGIN = 1.25;

/** How long an answered request took. */
export interface RequestDuration {
  /** The tokens that it asked for, if any. */
  readonly outputTokens: number;
  /** From its arrival to the end of its answer. */
  readonly total: Duration;
  /** From its send to a server to the end of its answer. */
  readonly run: Duration;
}

/** A request whose duration is estimated. */
export interface EstimatedRequest {
  readonly route: string;
  /** The tokens that it asks for, if any. */
  readonly outputTokens: number;
  /** The longest that it may take. */
  readonly timeLimit: Duration;
}

/**
 * Estimates how long requests take at most, from those that were answered on the
 * same route: generations take longer the more tokens they are asked for.
 */
export class RequestDurations {
  readonly #byRoute = new Map<string, RequestDuration[]>();

  /**
   * Records an answered request.
   * @param route The name of its route.
   * @param duration How long it took.
   */
  record(route: string, duration: RequestDuration): void {
    const known = this.#byRoute.get(route) ?? [];
    known.push(duration);
    if (known.length > REMEMBERED_REQUESTS) known.shift();
    this.#byRoute.set(route, known);
  }

  /**
   * Estimates how long a request takes from its arrival.
   * @param request The request.
   * @returns The time that it hardly exceeds; without knowledge, its time limit.
   */
  estimateTotal(request: EstimatedRequest): Duration {
    return this.#estimate(request, ({ total }) => total);
  }

  /**
   * Estimates how long a request takes from its send to a server.
   * @param request The request.
   * @returns The time that it hardly exceeds; without knowledge, its time limit.
   */
  estimateRun(request: EstimatedRequest): Duration {
    return this.#estimate(request, ({ run }) => run);
  }

  #estimate(
    { route, outputTokens, timeLimit }: EstimatedRequest,
    durationOf: (known: RequestDuration) => Duration,
  ): Duration {
    const known = this.#byRoute.get(route) ?? [];
    if (known.length < MINIMUM_REQUESTS) return timeLimit;
    const distance = (one: RequestDuration): number =>
      Math.abs(one.outputTokens - outputTokens);
    // The sort is stable, so that the latest of equal distance come first.
    const similar = known.toReversed()
      .sort((one, other) => distance(one) - distance(other))
      .slice(0, COMPARED_REQUESTS);
    const longest = Math.max(...similar.map((one) =>
      durationOf(one) *
      Math.max(1, outputTokens / Math.max(1, one.outputTokens))
    ));
    return milliseconds(Math.min(timeLimit, longest * DURATION_MARGIN));
  }
}
