import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * So many nodes share any limit. Each may hold one unused request back, which
 * together may come at once.
 */
const FEWEST_SHARERS = 3;
/** For each request a second that a server takes, so many more share it. */
const SHARERS_PER_REQUEST = 1.5;
/** The part of a limit that is used: nodes may disagree on who shares it. */
const USED_SHARE = 0.9;
/**
 * The least that a limit counts as, in requests a second: without a request
 * now and then nobody learns that a server takes more again.
 */
const LEAST_LIMIT = 0.2;

/** Whose part of a limit is asked for. */
export interface LimitTerms {
  /** Names the run of the server. */
  readonly run: string;
  /** The requests a second that it takes from all nodes together. */
  readonly limit: number;
  readonly self: NodeId;
  /** The nodes that send requests. */
  readonly nodes: readonly NodeId[];
}

/**
 * Splits a server's limit among the nodes that send requests. Where these are
 * many for the limit, some share it, chosen by server, so that what all may
 * send at once stays small beside it.
 * @param terms The limit and the nodes.
 * @returns This node's part, in requests a second; 0 where it sends none.
 */
export function partOfLimit({ run, limit, self, nodes }: LimitTerms): number {
  const counted = Math.max(LEAST_LIMIT, limit);
  const sharers = FEWEST_SHARERS + Math.floor(SHARERS_PER_REQUEST * counted);
  const chosen = nodes.length <= sharers
    ? nodes
    : rendezvousOrder(run, nodes).slice(0, sharers);
  if (!chosen.includes(self)) return 0;
  return USED_SHARE * counted / chosen.length;
}

/** When this node may send a server its next request, and how fast. */
export interface LimitedServer {
  /** Until the next request; nothing where this node sends none. */
  readonly wait: Duration | undefined;
  /** This node's part of the limit, in requests a second. */
  readonly rate: number;
}

/**
 * Estimates when a request that waits behind others may be sent.
 * @param servers The servers that could run it, all of which name limits.
 * @param ahead How many requests wait before it.
 * @returns The time, or nothing where this node sends none of them any.
 */
export function waitBehind(
  servers: readonly LimitedServer[],
  ahead: number,
): Duration | undefined {
  const waits = servers.flatMap(({ wait }) => wait === undefined ? [] : [wait]);
  const rate = servers.reduce((sum, server) => sum + server.rate, 0);
  if (waits.length === 0 || rate === 0) return undefined;
  const turns = ahead * MILLISECONDS_PER_SECOND / rate;
  return milliseconds(Math.min(...waits) + turns);
}

/**
 * Spaces one node's requests to a server that has named a limit: one may be
 * held back unused, so that none is ever sent early.
 */
export class RequestPace {
  #held = 0;
  #seenAt: Instant;

  /** @param now The present time, from which on requests are held back. */
  constructor(now: Instant) {
    this.#seenAt = now;
  }

  /**
   * Tells how long it takes until the next request may be sent.
   * @param now The present time.
   * @param rate This node's part of the limit, in requests a second.
   * @returns The time, or nothing where none may be sent at all.
   */
  wait(now: Instant, rate: number): Duration | undefined {
    this.#gather(now, rate);
    if (this.#held >= 1) return milliseconds(0);
    if (rate <= 0) return undefined;
    return milliseconds((1 - this.#held) * MILLISECONDS_PER_SECOND / rate);
  }

  /**
   * Takes a request that is to be sent now.
   * @param now The present time.
   * @param rate This node's part of the limit, in requests a second.
   * @returns Whether it may be sent.
   */
  take(now: Instant, rate: number): boolean {
    this.#gather(now, rate);
    if (this.#held < 1) return false;
    this.#held -= 1;
    return true;
  }

  /** Gives a request back that was taken and not sent. */
  giveBack(): void {
    this.#held = 1;
  }

  #gather(now: Instant, rate: number): void {
    const gathered = rate * elapsed(this.#seenAt, now) /
      MILLISECONDS_PER_SECOND;
    this.#held = rate <= 0 ? 0 : Math.min(1, this.#held + gathered);
    this.#seenAt = now;
  }
}
