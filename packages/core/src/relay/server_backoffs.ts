import {
  type BackendServerId,
  type Duration,
  elapsed,
  type Instant,
  isDifferentStart,
  later,
  milliseconds,
  seconds,
  type ServerStart,
} from "../shared/mod.ts";
import type { ServerRun } from "./registry/registered_server.ts";

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
/** The statuses with which a server asks for a backoff. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([
  TOO_MANY_REQUESTS,
  UNAVAILABLE,
]);
/**
 * How long a server may serve before its new start is known here: it registers
 * about once a second, and nodes read the registry within two.
 */
const REGISTRATION_DELAY = seconds(3);

/** What an answer states about the next requests to its server. */
export interface BackoffAnswer {
  readonly status: number;
  /** How long the server wants no requests, if stated. */
  readonly retryAfter?: Duration;
}

interface Backoff {
  /** The start that was known when the server asked for it. */
  readonly start: ServerStart | undefined;
  /** When an answer last asked for a backoff, if only for a shorter one. */
  askedAt: Instant;
  readonly end: Instant;
  /** When another start was first known. */
  restartKnownAt?: Instant;
}

/**
 * The backoffs that servers ask of this node when they refuse its requests.
 *
 * Handles this load: overloaded servers refuse requests, and nodes that go on
 * sending cost them more than the requests that they could serve. Each server
 * asks each node by itself, so that the nodes don't exchange the backoffs.
 */
export class ServerBackoffs {
  readonly #backoffs = new Map<BackendServerId, Backoff>();

  /** The number of servers with a backoff, including some that have ended. */
  get size(): number {
    return this.#backoffs.size;
  }

  /**
   * Applies the backoff in a server's answer. A shorter one doesn't replace a
   * longer one that a previous answer asked for.
   * @param now The present time, at which the answer arrived.
   * @param server The server that answered, with its newest known start.
   * @param answer The answer.
   * @returns Whether a backoff begins or is extended.
   */
  applyAnswer(
    now: Instant,
    server: ServerRun,
    { status, retryAfter }: BackoffAnswer,
  ): boolean {
    if (retryAfter === undefined || !BACKOFF_STATUSES.has(status)) return false;
    const known = this.#backoffs.get(server.id);
    if (known !== undefined && retryAfter <= this.remaining(now, server)) {
      if (!isDifferentStart(known.start, server.start)) known.askedAt = now;
      return false;
    }
    this.#dropEnded(now);
    this.#backoffs.set(server.id, {
      start: server.start,
      askedAt: now,
      end: later(now, retryAfter),
    });
    return true;
  }

  /**
   * Returns how long a server still wants no requests from this node.
   * @param now The present time.
   * @param server The server, with its newest known start.
   * @returns The time; 0 without a backoff.
   */
  remaining(now: Instant, server: ServerRun): Duration {
    const backoff = this.#backoffs.get(server.id);
    if (backoff === undefined || !appliesTo(now, backoff, server)) {
      return milliseconds(0);
    }
    return milliseconds(Math.max(0, elapsed(now, backoff.end)));
  }

  #dropEnded(now: Instant): void {
    for (const [id, { end }] of this.#backoffs) {
      if (end <= now) this.#backoffs.delete(id);
    }
  }
}

/**
 * A backoff ends with the start that asked for it. An answer doesn't name its
 * start: a start that becomes known soon after the answer may have given it.
 */
function appliesTo(
  now: Instant,
  backoff: Backoff,
  { start }: ServerRun,
): boolean {
  if (!isDifferentStart(backoff.start, start)) return true;
  backoff.restartKnownAt ??= now;
  return elapsed(backoff.askedAt, backoff.restartKnownAt) < REGISTRATION_DELAY;
}
