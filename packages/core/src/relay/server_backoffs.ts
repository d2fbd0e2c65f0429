import {
  type Duration,
  elapsed,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
/** The statuses with which a server asks for a backoff. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([
  TOO_MANY_REQUESTS,
  UNAVAILABLE,
]);

/** What an answer states about the next requests to its server. */
export interface BackoffAnswer {
  readonly status: number;
  /** How long the server wants no requests, if stated. */
  readonly retryAfter?: Duration;
}

/**
 * The backoffs that servers ask of this node when they refuse its requests.
 *
 * Handles this load: overloaded servers refuse requests, and nodes that go on
 * sending cost them more than the requests that they could serve. Each server
 * asks each node by itself, so that the nodes don't exchange the backoffs.
 */
export class ServerBackoffs {
  readonly #endsByRun = new Map<string, Instant>();

  /** The number of server runs with a backoff, including some that have ended. */
  get size(): number {
    return this.#endsByRun.size;
  }

  /**
   * Applies the backoff in a server's answer. A shorter one doesn't replace a
   * longer one that a previous answer asked for.
   * @param now The present time, at which the answer arrived.
   * @param run The run of the server that answered.
   * @param answer The answer.
   * @returns Whether a backoff begins or is extended.
   */
  applyAnswer(
    now: Instant,
    run: string,
    { status, retryAfter }: BackoffAnswer,
  ): boolean {
    if (retryAfter === undefined || !BACKOFF_STATUSES.has(status)) return false;
    if (retryAfter <= this.remaining(now, run)) return false;
    this.#dropEnded(now);
    this.#endsByRun.set(run, later(now, retryAfter));
    return true;
  }

  /**
   * Returns how long a server run still wants no requests from this node.
   * @param now The present time.
   * @param run The run.
   * @returns The time; 0 without a backoff.
   */
  remaining(now: Instant, run: string): Duration {
    const end = this.#endsByRun.get(run);
    return milliseconds(end === undefined ? 0 : Math.max(0, elapsed(now, end)));
  }

  #dropEnded(now: Instant): void {
    for (const [run, end] of this.#endsByRun) {
      if (end <= now) this.#endsByRun.delete(run);
    }
  }
}
