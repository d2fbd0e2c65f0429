import {
  type Instant,
  NodeRetryBudget,
  type RetryBudgetLimits,
  type ServiceId,
} from "@foxtailwind/core";

/** The state of a service's budget, for the log. */
export interface RetryBudgetState {
  readonly requests: number;
  readonly retries: number;
  readonly nodes: number;
}

/** The retry budgets of this node, one for each service. */
export class RetryBudgets {
  readonly #limits: RetryBudgetLimits;
  readonly #countNodes: () => number;
  readonly #budgets = new Map<ServiceId, NodeRetryBudget>();

  /**
   * @param limits The limits for all nodes together.
   * @param countNodes Counts the nodes that share the limits.
   */
  constructor(limits: RetryBudgetLimits, countNodes: () => number) {
    this.#limits = limits;
    this.#countNodes = countNodes;
  }

  /**
   * Credits a service's budget for a request.
   * @param now The present time.
   * @param service The service of the request.
   */
  recordRequest(now: Instant, service: ServiceId): void {
    this.#budgetOf(service).recordRequest(now);
  }

  /**
   * Takes a retry from a service's budget.
   * @param now The present time.
   * @param service The service.
   * @returns Whether the retry is allowed.
   */
  tryTake(now: Instant, service: ServiceId): boolean {
    return this.#budgetOf(service).tryTake(
      now,
      Math.max(1, this.#countNodes()),
    );
  }

  /**
   * Describes a service's budget for the log.
   * @param now The present time.
   * @param service The service.
   * @returns The requests and retries in the window, and the nodes that share
   * the limits.
   */
  describe(now: Instant, service: ServiceId): RetryBudgetState {
    return {
      ...this.#budgetOf(service).counts(now),
      nodes: Math.max(1, this.#countNodes()),
    };
  }

  #budgetOf(service: ServiceId): NodeRetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new NodeRetryBudget(this.#limits);
    this.#budgets.set(service, budget);
    return budget;
  }
}
