import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/** A server counts as brittle for this long after it last said so. */
const RETENTION = milliseconds(10_000);
/** The share of the rejections that a server bears that nodes may cause. */
const SAFETY_FACTOR = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;
/** The longest time that a node leaves a server alone after a rejection. */
const LONGEST_BACKOFF_MILLISECONDS = 4_000;

/** An answer, as far as it concerns rejections for want of room. */
export interface BrittleAnswer {
  /** When its request was sent. */
  readonly sentAt: Instant;
  /** Whether the server rejected the request. */
  readonly isRejection: boolean;
  /** The rejections a second from which on the server fails, if stated. */
  readonly rejectionLimit: number | undefined;
  /** The number of nodes that send to the server. */
  readonly nodes: number;
}

interface BrittleRun {
  readonly rejectionLimit: number;
  readonly statedAt: Instant;
}

/**
 * The server runs that say that they fail if they have to reject more than some
 * requests in a second.
 *
 * Nodes then keep from rejections: each has no more requests in progress at a
 * server than its part of the places, and backs off after a rejection, so that
 * all nodes together cause half of what the server bears.
 */
export class BrittleServers {
  readonly #runs = new Map<string, BrittleRun>();

  /**
   * Applies an answer.
   * @param now The present time.
   * @param run The run of the server.
   * @param answer The answer.
   * @returns How long this node must not send to the server; 0 if it may.
   */
  applyAnswer(
    now: Instant,
    run: string,
    { sentAt, isRejection, rejectionLimit, nodes }: BrittleAnswer,
  ): Duration {
    if (rejectionLimit === undefined) {
      // An answer to an earlier request may be older than the statement.
      const known = this.#runs.get(run);
      if (known !== undefined && sentAt > known.statedAt) {
        this.#runs.delete(run);
      }
    } else this.#runs.set(run, { rejectionLimit, statedAt: now });
    const limit = this.#limitOf(now, run);
    if (!isRejection || limit === undefined) return milliseconds(0);
    return milliseconds(Math.min(
      LONGEST_BACKOFF_MILLISECONDS,
      MILLISECONDS_PER_SECOND * nodes / (Math.max(1, limit) * SAFETY_FACTOR),
    ));
  }

  /**
   * Returns how many requests this node may have in progress at a server.
   * @param now The present time.
   * @param run The run of the server.
   * @param places The requests that it runs at once.
   * @param nodes The number of nodes that send to it.
   * @returns The number, at least 1; unlimited if the server isn't brittle.
   */
  maximumInProgress(
    now: Instant,
    run: string,
    places: number,
    nodes: number,
  ): number {
    if (this.#limitOf(now, run) === undefined) return Infinity;
    return Math.max(1, Math.floor(places / nodes));
  }

  #limitOf(now: Instant, run: string): number | undefined {
    const known = this.#runs.get(run);
    if (known === undefined) return undefined;
    if (elapsed(known.statedAt, now) < RETENTION) return known.rejectionLimit;
    this.#runs.delete(run);
    return undefined;
  }
}
