import {
  type Duration,
  type Instant,
  milliseconds,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";
import {
  accrualMilliseconds,
  type BucketLimit,
  TokenBucket,
} from "./token_bucket.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * The minimum number of nodes that share a limit. Each may hold one unused
 * request, and all of these may be sent at once.
 */
const MINIMUM_SHARERS = 3;
/** Additional sharers for each request per second that a server accepts. */
const SHARERS_PER_REQUEST_PER_SECOND = 1.5;
/**
 * The part of a limit that is used, since nodes may disagree on who shares it.
 */
const USED_LIMIT_SHARE = 0.9;
/**
 * The lowest limit that is applied: without an occasional request, no node
 * would learn that a server accepts more again.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.2;

/** The inputs for computing one node's share of a limit. */
export interface LimitTerms {
  /** Identifies the run of the server. */
  readonly run: string;
  /**
   * The requests per second that the server accepts from all nodes together.
   */
  readonly limit: number;
  readonly self: NodeId;
  /** The nodes that send requests. */
  readonly nodes: readonly NodeId[];
}

/**
 * Splits a server's limit among the nodes that send requests. If there are many
 * nodes for the limit, only some share it, chosen per server, so that the
 * requests that all may send at once stay few compared to the limit.
 * @param terms The limit and the nodes.
 * @returns This node's share in requests per second; 0 if it may send none.
 */
export function shareOfLimit({ run, limit, self, nodes }: LimitTerms): number {
  const effectiveLimit = Math.max(MINIMUM_REQUESTS_PER_SECOND, limit);
  const sharerCount = MINIMUM_SHARERS +
    Math.floor(SHARERS_PER_REQUEST_PER_SECOND * effectiveLimit);
  const sharers = nodes.length <= sharerCount
    ? nodes
    : rendezvousOrder(run, nodes).slice(0, sharerCount);
  if (!sharers.includes(self)) return 0;
  return USED_LIMIT_SHARE * effectiveLimit / sharers.length;
}

/** When this node may send its next request to a server, and at which rate. */
export interface LimitedServer {
  /** Time until the next request; `undefined` if this node may send none. */
  readonly wait: Duration | undefined;
  /** This node's share of the limit, in requests per second. */
  readonly rate: number;
}

/**
 * Estimates when a queued request may be sent.
 * @param servers The servers that could run it, all of which have limits.
 * @param requestsAhead The number of requests queued before it.
 * @returns The time, or `undefined` if this node may send requests to none of
 * them.
 */
export function estimateQueueWait(
  servers: readonly LimitedServer[],
  requestsAhead: number,
): Duration | undefined {
  const waits = servers.flatMap(({ wait }) => wait === undefined ? [] : [wait]);
  const rate = servers.reduce((sum, server) => sum + server.rate, 0);
  if (waits.length === 0 || rate === 0) return undefined;
  const queueTime = requestsAhead * MILLISECONDS_PER_SECOND / rate;
  return milliseconds(Math.min(...waits) + queueTime);
}

/**
 * Paces one node's requests to a rate-limited server. It holds one token at
 * most and starts empty, so that no request is sent early.
 */
export class RequestPacer {
  readonly #bucket: TokenBucket;

  /** @param now The present time, from which on tokens accrue. */
  constructor(now: Instant) {
    this.#bucket = new TokenBucket(now, 0);
  }

  /**
   * Returns the time until the next request may be sent.
   * @param now The present time.
   * @param rate This node's share of the limit, in requests per second.
   * @returns The time, or `undefined` if no request may be sent at all.
   */
  wait(now: Instant, rate: number): Duration | undefined {
    const tokens = this.#bucket.level(now, pacerLimit(rate));
    if (tokens >= 1) return milliseconds(0);
    if (rate <= 0) return undefined;
    return milliseconds(accrualMilliseconds(1 - tokens, rate));
  }

  /**
   * Takes a token for a request that is sent now.
   * @param now The present time.
   * @param rate This node's share of the limit, in requests per second.
   * @returns Whether the request may be sent.
   */
  tryTake(now: Instant, rate: number): boolean {
    if (this.#bucket.level(now, pacerLimit(rate)) < 1) return false;
    this.#bucket.take(1);
    return true;
  }

  /** Returns the token of a request that was not sent. */
  refund(): void {
    this.#bucket.raiseTo(1);
  }
}

/** A node that may send nothing keeps no token either. */
function pacerLimit(rate: number): BucketLimit {
  return { rate, capacity: rate <= 0 ? 0 : 1 };
}
