import { type Duration, type Instant, later } from "../shared/mod.ts";
import {
  PeerRetryLedger,
  type PeerRetryUse,
  type RetryUse,
} from "./peer_retry_ledger.ts";

/**
 * The retries that all nodes together may send beyond the first attempt of each
 * request.
 */
export interface RetryBudgetLimits {
  /** Retries allowed per request in the window. */
  readonly retriesPerRequest: number;
  /** Retries allowed per window beside the share, over all nodes. */
  readonly reserve: number;
  readonly window: Duration;
  /**
   * When this run of the node began, unless it counts as having run for long.
   * Earlier runs may have spent their part within the same window.
   */
  readonly startedAt?: Instant;
}

/** What a node knows of the other nodes that share the limits. */
export interface RetryMembership {
  /** The nodes that share the reserve, at least 1. */
  readonly nodes: number;
  /** Whether all nodes that may be running are among them. */
  readonly isComplete: boolean;
  /**
   * Whether a peer that has run for a whole window reports to this node, so that
   * what ended runs have spent is known.
   */
  readonly hasEstablishedPeer: boolean;
}

/** A retry taken from the budget. */
export interface RetryCharge {
  /**
   * Records that the retry can't arrive at a server any later.
   * @param now The present time.
   */
  readonly settle: (now: Instant) => void;
  /** Puts the retry back, because it was not sent. */
  readonly refund: () => void;
}

/**
 * The share of its budget that a node uses: windows slide, and whoever checks
 * the limit may count requests a little later than this node does.
 */
const SAFETY_FACTOR = 0.85;
/**
 * The share of the limits that all nodes together use while runs end: the last
 * retries of an ended run were not reported, and other reports are late.
 */
const DEPARTURE_SAFETY_FACTOR = 0.7;
/**
 * The part of its share that a node uses in its first window if no peer can
 * report what ended runs have spent.
 */
const UNINFORMED_SHARE = 0.15;

/**
 * Limits one node's retries to a service. The share grows with the node's own
 * requests; the reserve is split evenly among the nodes. A retry counts from the
 * decision until a window after its last possible arrival: a request that a
 * network partition holds up may reach its server long after it was sent.
 *
 * The parts of nodes that run on add up to the limits. If a run ends, its
 * callers move to other nodes, whose parts grow while its own is spent. For two
 * windows after that, all nodes' reported retries count together as well.
 */
export class NodeRetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #requests: Instant[] = [];
  readonly #unsettled = new Set<RetryCharge>();
  readonly #settled: Instant[] = [];
  readonly #peers: PeerRetryLedger;

  /** @param limits The limits for all nodes together. */
  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
    this.#peers = new PeerRetryLedger(limits.window);
  }

  /**
   * Records a request.
   * @param now The present time.
   */
  recordRequest(now: Instant): void {
    this.#dropExpired(now);
    this.#requests.push(now);
  }

  /**
   * Takes a retry from the budget.
   * @param now The present time.
   * @param membership The nodes that share the limits.
   * @returns The retry, or `undefined` if it isn't allowed.
   */
  tryTake(
    now: Instant,
    membership: RetryMembership,
  ): RetryCharge | undefined {
    this.#dropExpired(now);
    const retries = this.#retryCount + 1;
    if (retries > this.#ownPart(now, membership) * SAFETY_FACTOR) return;
    if (retries > this.#remainingOfAll(now)) return;
    const charge = {
      settle: (settledAt: Instant) => {
        if (this.#unsettled.delete(charge)) this.#settled.push(settledAt);
      },
      refund: () => {
        this.#unsettled.delete(charge);
      },
    };
    this.#unsettled.add(charge);
    return charge;
  }

  /**
   * Counts what the node has recorded in the window.
   * @param now The present time.
   * @returns The requests, and the retries taken.
   */
  counts(now: Instant): RetryUse {
    this.#dropExpired(now);
    return {
      requests: this.#requests.length,
      retries: this.#retryCount,
      unsettled: this.#unsettled.size,
    };
  }

  /**
   * Returns what this node reports to its peers.
   * @param now The present time.
   * @returns The report, or `undefined` if there is nothing to report.
   */
  use(now: Instant): Omit<PeerRetryUse, "run"> | undefined {
    const counts = this.counts(now);
    const departed = this.#peers.observedDepartures(now);
    return counts.retries === 0 && departed === undefined
      ? undefined
      : { ...counts, departed };
  }

  /**
   * Applies the newest reports of the peers that are present.
   * @param now The present time.
   * @param reports A report of each.
   */
  applyPeers(now: Instant, reports: readonly PeerRetryUse[]): void {
    this.#peers.applyReports(now, reports);
  }

  /** This node's part of the limits. */
  #ownPart(now: Instant, membership: RetryMembership): number {
    const { retriesPerRequest, reserve, window, startedAt } = this.#limits;
    const share = retriesPerRequest * this.#requests.length;
    const isFirstWindow = startedAt !== undefined &&
      now < later(startedAt, window);
    if (isFirstWindow) {
      return membership.hasEstablishedPeer ? share : share * UNINFORMED_SHARE;
    }
    return membership.isComplete ? share + reserve / membership.nodes : share;
  }

  /**
   * What the limits leave to this node beside the retries of all other runs. It
   * is unlimited if no run has ended lately.
   */
  #remainingOfAll(now: Instant): number {
    const departed = this.#peers.departures(now);
    if (departed === undefined) return Infinity;
    const { retriesPerRequest, reserve } = this.#limits;
    const { present } = this.#peers;
    const requests = this.#requests.length + present.requests +
      departed.requests;
    return (retriesPerRequest * requests + reserve) * DEPARTURE_SAFETY_FACTOR -
      present.retries - departed.retries;
  }

  get #retryCount(): number {
    return this.#unsettled.size + this.#settled.length;
  }

  #dropExpired(now: Instant): void {
    dropUntil(this.#requests, now - this.#limits.window);
    dropUntil(this.#settled, now - this.#limits.window);
  }
}

/**
 * Removes the leading instants up to and including a time from a sorted list.
 */
function dropUntil(instants: Instant[], end: number): void {
  const firstKept = instants.findIndex((at) => at > end);
  instants.splice(0, firstKept === -1 ? instants.length : firstKept);
}
