import {
  type Duration,
  type Instant,
  milliseconds,
  type NodeId,
} from "../../shared/mod.ts";
import {
  accrualMilliseconds,
  type BucketLimit,
  TokenBucket,
} from "../token_bucket.ts";
import type { AccountQuota } from "./client_account.ts";
import { DemandMeter } from "./demand_meter.ts";

/** What one run of a node reports of its use of a quota. */
export interface QuotaUse {
  /** Units admitted since the run began. */
  readonly admitted: number;
  /** Units per second that were asked of it lately, admitted or not. */
  readonly demand: number;
}

/** A report of another node. */
export interface PeerQuotaUse extends QuotaUse {
  readonly node: NodeId;
  /** Identifies the run of the node. */
  readonly incarnation: string;
}

/** How many of the nodes that may spend a quota this node hears of. */
export interface QuotaMembership {
  /** The nodes that were heard lately, including this one. */
  readonly present: number;
  /** Those nodes and the ones that have fallen silent. */
  readonly known: number;
}

/** The quota of an account, and the nodes that share it. */
export interface QuotaTerms {
  readonly quota: AccountQuota;
  /** Units that all nodes may admit beyond it, in any window. */
  readonly slack: number;
  readonly membership: QuotaMembership;
}

/** Whether a quota admits a request. */
export type QuotaDecision =
  | { readonly kind: "admitted" }
  /** It exceeds the quota; its turn is expected after some time. */
  | { readonly kind: "refused"; readonly retryAfter: Duration };

/** The part of the slack that is lent as burst; the rest covers delays. */
const LENT_SLACK_SHARE = 0.5;
/**
 * The level of a node's first copy of the pool, as a share of its capacity: what
 * other nodes, or its own earlier run, admitted is unknown then.
 */
const INITIAL_LEVEL = 0.5;
/** The level of the pool, as a share of its capacity, that counts as ample. */
const AMPLE_LEVEL = 0.25;
/**
 * The demand, as a share of the rate, at which all nodes together count as
 * being asked for too much. Few long requests raise the measured demand for a
 * moment.
 */
const EXCESSIVE_DEMAND = 1.25;
/** The deepest debt of the pool, as a share of its capacity. */
const MAXIMUM_DEBT = 1;
/** The longest time that a refused caller is told to wait. */
const MAXIMUM_RETRY_MILLISECONDS = 8_000;

interface Buckets {
  /** This node's copy of the account's bucket. */
  readonly pool: TokenBucket;
  readonly poolLimit: BucketLimit;
  /** What this node may admit while the pool is low. */
  readonly share: TokenBucket;
}

/**
 * One account's quota as this node enforces it together with the other nodes.
 *
 * Each node keeps a copy of the account's token bucket, the pool, and takes
 * from it what it admits itself and what its peers report. While the pool is
 * ample and all nodes together are asked for less than the quota, a node admits
 * at once: callers that are spread unevenly, or whose requests differ in size,
 * are not refused for the sake of a split. Otherwise, it admits what fits into
 * its share, which follows its part of the demand, so that the shares of all
 * nodes add up to the quota however late reports arrive.
 *
 * Nodes that have fallen silent may still admit requests elsewhere. Their part
 * of the quota by number is left to them, and a node that hears no one has only
 * its own.
 */
export class AccountQuotaMeter {
  readonly #demand: DemandMeter;
  readonly #peers = new Map<NodeId, PeerQuotaUse>();
  /** Created with the first terms, since their quota sets the capacities. */
  #buckets: Buckets | undefined;
  #admitted = 0;
  #peerDemand = 0;
  /** This node's part of the demand as of the last reports. */
  #ownPart = 1;

  /** @param now The present time. */
  constructor(now: Instant) {
    this.#demand = new DemandMeter(now);
  }

  /**
   * Returns what this node reports to its peers.
   * @param now The present time.
   * @returns The report.
   */
  use(now: Instant): QuotaUse {
    return { admitted: this.#admitted, demand: this.#demand.rate(now) };
  }

  /**
   * Applies the newest reports of the peers that are present.
   * @param now The present time.
   * @param reports The reports.
   */
  applyPeers(now: Instant, reports: readonly PeerQuotaUse[]): void {
    this.#peerDemand = 0;
    this.#buckets?.pool.level(now, this.#buckets.poolLimit);
    for (const report of reports) {
      this.#peerDemand += report.demand;
      const known = this.#peers.get(report.node);
      this.#peers.set(report.node, report);
      this.#buckets?.pool.take(
        known?.incarnation === report.incarnation
          ? Math.max(0, report.admitted - known.admitted)
          : recentlyAdmitted(report),
      );
    }
    // Its own demand counts as of the same time as that of its peers: all nodes
    // see a surge in their own demand first, and would each take too much.
    const own = this.#demand.rate(now);
    const total = own + this.#peerDemand;
    this.#ownPart = total > 0 ? own / total : 1;
  }

  /**
   * Admits a request or refuses it.
   * @param now The present time.
   * @param cost What it costs of the quota.
   * @param terms The quota and the nodes that share it.
   * @returns The decision.
   */
  tryTake(now: Instant, cost: number, terms: QuotaTerms): QuotaDecision {
    this.#demand.record(now, cost);
    const poolLimit = poolLimitOf(terms);
    const shareLimit = this.#shareLimit(terms);
    this.#buckets = {
      pool: this.#buckets?.pool ??
        new TokenBucket(now, poolLimit.capacity * INITIAL_LEVEL),
      poolLimit,
      share: this.#buckets?.share ?? new TokenBucket(now, 0),
    };
    const { pool, share } = this.#buckets;
    // Nodes that were out of reach report all at once what they admitted.
    pool.raiseTo(-poolLimit.capacity * MAXIMUM_DEBT);
    const pooled = pool.level(now, poolLimit);
    const shared = share.level(now, shareLimit);
    const isAmple = pooled >= poolLimit.capacity * AMPLE_LEVEL &&
      this.#totalDemand(now) <= poolLimit.rate * EXCESSIVE_DEMAND;
    const needed = Math.min(cost, shareLimit.capacity);
    if (!isAmple && (pooled < 0 || shared < needed)) {
      return refuse(Math.max(
        accrualMilliseconds(needed - shared, shareLimit.rate),
        accrualMilliseconds(-pooled, poolLimit.rate),
      ));
    }
    this.#admitted += cost;
    pool.take(cost);
    share.take(cost);
    // What an ample pool lends is not owed by the share.
    if (isAmple) share.raiseTo(0);
    return { kind: "admitted" };
  }

  /**
   * Puts back what was taken for a request that did not run.
   * @param cost What it cost.
   */
  refund(cost: number): void {
    this.#admitted -= cost;
    this.#buckets?.pool.take(-cost);
    this.#buckets?.share.take(-cost);
  }

  #totalDemand(now: Instant): number {
    return this.#demand.rate(now) + this.#peerDemand;
  }

  #shareLimit(terms: QuotaTerms): BucketLimit {
    const { quota } = terms;
    const part = this.#ownPart * presentPart(terms);
    return { rate: quota.rate * part, capacity: quota.burst * part };
  }
}

function poolLimitOf(terms: QuotaTerms): BucketLimit {
  const { quota, slack } = terms;
  const part = presentPart(terms);
  return {
    rate: quota.rate * part,
    capacity: (quota.burst + slack * LENT_SLACK_SHARE) * part,
  };
}

/** The part of a quota that the nodes heard by this one may admit. */
function presentPart({ membership }: QuotaTerms): number {
  return membership.present / Math.max(membership.known, membership.present);
}

/**
 * Estimates what a run that was unknown until now has admitted in the last
 * second. Most of its count may be older than this node.
 */
function recentlyAdmitted({ admitted, demand }: QuotaUse): number {
  return Math.min(admitted, demand);
}

function refuse(waitMilliseconds: number): QuotaDecision {
  return {
    kind: "refused",
    retryAfter: milliseconds(
      Math.min(MAXIMUM_RETRY_MILLISECONDS, waitMilliseconds),
    ),
  };
}
