import { elapsed, type Instant, milliseconds } from "../shared/mod.ts";

/** A limit that was not named again is kept for so long. */
const LIMIT_TIME = milliseconds(30_000);
/** How long others are told that a server names a limit no more. */
const ENDED_TIME = milliseconds(3_000);
/** A limit named so lately outweighs the word of others that it has ended. */
const FRESH_TIME = milliseconds(2_000);

/** What a run of a server named last, as it is told to other nodes. */
export interface NamedLimit {
  /** Names the run of the server. */
  readonly run: string;
  /** Requests a second; left out where it names none any more. */
  readonly limit?: number;
}

interface Seen {
  readonly limit: number | undefined;
  readonly at: Instant;
}

/**
 * The requests a second that servers in need take from all nodes together.
 *
 * Answers this load: a server that is overloaded, or about to be, names what
 * it takes while many nodes go on sending as before, each of them a part that
 * looks small to it. Servers that name nothing cost nothing.
 */
export class LimitMemory {
  readonly #seen = new Map<string, Seen>();
  #told: ReadonlyMap<string, number> = new Map();

  /** Whether no limit is known. */
  get isEmpty(): boolean {
    return this.#seen.size === 0 && this.#told.size === 0;
  }

  /**
   * Takes what an answer says.
   * @param now The present time.
   * @param run The run of the server that gave it.
   * @param sentAt When its request was sent.
   * @param limit The limit that it names, if it does.
   * @returns Whether the server has begun or ceased to name a limit.
   */
  answered(
    now: Instant,
    run: string,
    { sentAt, limit }: {
      readonly sentAt: Instant;
      readonly limit: number | undefined;
    },
  ): boolean {
    const before = this.#seen.get(run);
    if (limit === undefined) {
      // An answer to an earlier request may be older than the limit.
      const isNewer = before?.limit !== undefined && sentAt > before.at;
      if (isNewer) this.#seen.set(run, { limit, at: now });
      return isNewer;
    }
    this.#seen.set(run, { limit, at: now });
    return before?.limit === undefined;
  }

  /**
   * Takes what the other nodes say, in place of what they said before.
   * @param now The present time.
   * @param told The limits.
   */
  told(now: Instant, told: readonly NamedLimit[]): void {
    const limits = new Map<string, number>();
    for (const { run, limit } of told) {
      if (limit === undefined) this.#ended(now, run);
      else limits.set(run, Math.min(limit, limits.get(run) ?? limit));
    }
    this.#told = limits;
    for (const [run, { limit, at }] of this.#seen) {
      const time = limit === undefined ? ENDED_TIME : LIMIT_TIME;
      if (elapsed(at, now) >= time) this.#seen.delete(run);
    }
  }

  /** The runs of servers that have a limit. */
  get runs(): ReadonlySet<string> {
    const own = this.own.flatMap(({ run, limit }) =>
      limit === undefined ? [] : [run]
    );
    return new Set([...own, ...this.#told.keys()]);
  }

  /** What this node has seen itself, for the others. */
  get own(): readonly NamedLimit[] {
    return [...this.#seen].map(([run, { limit }]) => ({
      run,
      ...(limit === undefined ? {} : { limit }),
    }));
  }

  /**
   * Gives the limit of a run of a server.
   * @param run The run.
   * @returns Requests a second, or nothing where none is known.
   */
  limitOf(run: string): number | undefined {
    const own = this.#seen.get(run)?.limit;
    const told = this.#told.get(run);
    if (own === undefined) return told;
    return told === undefined ? own : Math.min(own, told);
  }

  #ended(now: Instant, run: string): void {
    const seen = this.#seen.get(run);
    if (seen?.limit === undefined) return;
    if (elapsed(seen.at, now) >= FRESH_TIME) this.#seen.delete(run);
  }
}
