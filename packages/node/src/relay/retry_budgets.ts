import {
  type Instant,
  later,
  NodeRetryBudget,
  type RetryBudgetLimits,
  type RetryCharge,
  type RetryMembership,
  type ServiceId,
  serviceId,
} from "@foxtailwind/core";
import type { NodeDigest, RetryUse } from "@foxtailwind/protocol";

/** Requests are reported in this unit, so that few of them send no news. */
const REPORTED_REQUESTS_UNIT = 8;

/** The dependencies of {@link RetryBudgets}. */
export interface RetryBudgetsParts {
  /** The limits for all nodes together. */
  readonly limits: RetryBudgetLimits;
  /** Lists the digests of the peers that are present. */
  readonly presentPeers: (now: Instant) => readonly NodeDigest[];
  /** Counts the nodes that share the limits, and tells whether it knows all. */
  readonly countNodes: (
    now: Instant,
  ) => Pick<RetryMembership, "isComplete" | "nodes">;
}

/** The state of a service's budget, for the log. */
export interface RetryBudgetState {
  readonly requests: number;
  readonly retries: number;
  readonly nodes: number;
}

/**
 * The retry budgets of this node, one for each service, and what the other nodes
 * report of theirs.
 */
export class RetryBudgets {
  readonly #parts: RetryBudgetsParts;
  readonly #budgets = new Map<ServiceId, NodeRetryBudget>();
  #peers: readonly NodeDigest[] = [];

  /** @param parts The dependencies. */
  constructor(parts: RetryBudgetsParts) {
    this.#parts = parts;
  }

  /**
   * Credits a service's budget for a request.
   * @param now The present time.
   * @param service The service of the request.
   */
  recordRequest(now: Instant, service: ServiceId): void {
    this.#budgetOf(now, service).recordRequest(now);
  }

  /**
   * Takes a retry from a service's budget.
   * @param now The present time.
   * @param service The service.
   * @returns The retry, or `undefined` if it isn't allowed.
   */
  tryTake(now: Instant, service: ServiceId): RetryCharge | undefined {
    return this.#budgetOf(now, service).tryTake(now, {
      ...this.#parts.countNodes(now),
      hasEstablishedPeer: this.#peers.some((peer) => peer.isEstablished),
    });
  }

  /**
   * Describes a service's budget for the log.
   * @param now The present time.
   * @param service The service.
   * @returns The requests and retries in the window, and the nodes that share
   * the limits.
   */
  describe(now: Instant, service: ServiceId): RetryBudgetState {
    const { requests, retries } = this.#budgetOf(now, service).counts(now);
    return { requests, retries, nodes: this.#parts.countNodes(now).nodes };
  }

  /**
   * Determines whether this run is older than the window.
   * @param now The present time.
   * @returns Whether it is.
   */
  isEstablished(now: Instant): boolean {
    const { startedAt, window } = this.#parts.limits;
    return startedAt === undefined || now >= later(startedAt, window);
  }

  /**
   * Returns what this node reports to its peers.
   * @param now The present time.
   * @returns A report of each budget that is in use.
   */
  uses(now: Instant): readonly RetryUse[] {
    return [...this.#budgets].flatMap(([service, budget]) => {
      const use = budget.use(now);
      if (use === undefined) return [];
      const { requests, retries, unsettled, departed } = use;
      const reported = requests - requests % REPORTED_REQUESTS_UNIT;
      return [{
        service,
        own: { requests: reported, retries, unsettled },
        departed: departed && { ...departed },
      }];
    });
  }

  /**
   * Applies the newest reports of the peers that are present.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    this.#peers = this.#parts.presentPeers(now);
    for (const [service, budget] of this.#budgets) {
      this.#applyPeers(now, service, budget);
    }
  }

  #applyPeers(now: Instant, service: ServiceId, budget: NodeRetryBudget): void {
    budget.applyPeers(
      now,
      this.#peers.map(({ incarnation, engineStates }) => {
        const use = engineStates?.retries
          .find((one) => serviceId(one.service) === service);
        const { requests = 0, retries = 0, unsettled = 0 } = use?.own ?? {};
        const departed = use?.departed;
        return { run: incarnation, requests, retries, unsettled, departed };
      }),
    );
  }

  #budgetOf(now: Instant, service: ServiceId): NodeRetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new NodeRetryBudget(this.#parts.limits);
    this.#budgets.set(service, budget);
    this.#applyPeers(now, service, budget);
    return budget;
  }
}
