import { elapsed, type Instant, milliseconds } from "../shared/mod.ts";

/** How long a limit is kept after it was last named. */
const LIMIT_RETENTION = milliseconds(30_000);
/** How long peers are told that a server no longer names a limit. */
const ENDED_RETENTION = milliseconds(3_000);
/**
 * A limit observed this recently outweighs peers' reports that it has ended.
 */
const FRESH_LIMIT_TIME = milliseconds(2_000);

/** The limit that a run of a server named last, as exchanged between nodes. */
export interface ServerRateLimit {
  /** Identifies the run of the server. */
  readonly run: string;
  /** Requests per second; omitted if the server no longer names a limit. */
  readonly limit?: number;
}

interface ObservedLimit {
  readonly limit: number | undefined;
  readonly at: Instant;
}

/**
 * The requests per second that overloaded servers accept from all nodes
 * together.
 *
 * Handles this load: a server that is overloaded, or about to be, names the
 * rate that it accepts while many nodes go on sending as before, each of them a
 * part that looks small to it. Servers that name no limit cost nothing.
 */
export class ServerRateLimits {
  readonly #observed = new Map<string, ObservedLimit>();
  #peerLimits: ReadonlyMap<string, number> = new Map();

  /** Whether no limit is known. */
  get isEmpty(): boolean {
    return this.#observed.size === 0 && this.#peerLimits.size === 0;
  }

  /**
   * Applies the limit in a server's answer.
   * @param now The present time.
   * @param run The run of the server that answered.
   * @param answer When the request was sent, and the limit that the answer
   * names, if any.
   * @returns Whether the server has started or stopped naming a limit.
   */
  applyAnswer(
    now: Instant,
    run: string,
    { sentAt, limit }: {
      readonly sentAt: Instant;
      readonly limit: number | undefined;
    },
  ): boolean {
    const previous = this.#observed.get(run);
    if (limit === undefined) {
      // An answer to an earlier request may be older than the limit.
      const isNewer = previous?.limit !== undefined && sentAt > previous.at;
      if (isNewer) this.#observed.set(run, { limit, at: now });
      return isNewer;
    }
    this.#observed.set(run, { limit, at: now });
    return previous?.limit === undefined;
  }

  /**
   * Replaces the limits reported by the other nodes.
   * @param now The present time.
   * @param peerLimits The limits.
   */
  applyPeerLimits(now: Instant, peerLimits: readonly ServerRateLimit[]): void {
    const limits = new Map<string, number>();
    for (const { run, limit } of peerLimits) {
      if (limit === undefined) this.#applyPeerEnded(now, run);
      else limits.set(run, Math.min(limit, limits.get(run) ?? limit));
    }
    this.#peerLimits = limits;
    for (const [run, { limit, at }] of this.#observed) {
      const retention = limit === undefined ? ENDED_RETENTION : LIMIT_RETENTION;
      if (elapsed(at, now) >= retention) this.#observed.delete(run);
    }
  }

  /** The server runs that have a limit. */
  get limitedRuns(): ReadonlySet<string> {
    const ownRuns = this.ownLimits.flatMap(({ run, limit }) =>
      limit === undefined ? [] : [run]
    );
    return new Set([...ownRuns, ...this.#peerLimits.keys()]);
  }

  /** The limits that this node has observed itself, for its peers. */
  get ownLimits(): readonly ServerRateLimit[] {
    return [...this.#observed].map(([run, { limit }]) => ({
      run,
      ...(limit === undefined ? {} : { limit }),
    }));
  }

  /**
   * Returns the limit of a server run.
   * @param run The run.
   * @returns Requests per second, or `undefined` if no limit is known.
   */
  limitOf(run: string): number | undefined {
    const own = this.#observed.get(run)?.limit;
    const peer = this.#peerLimits.get(run);
    if (own === undefined) return peer;
    return peer === undefined ? own : Math.min(own, peer);
  }

  #applyPeerEnded(now: Instant, run: string): void {
    const observed = this.#observed.get(run);
    if (observed?.limit === undefined) return;
    if (elapsed(observed.at, now) >= FRESH_LIMIT_TIME) {
      this.#observed.delete(run);
    }
  }
}
