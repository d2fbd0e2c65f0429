import {
  type Instant,
  NodeRetryBudget,
  type RetryBudgetLimits,
  type ServiceId,
} from "@foxtailwind/core";

/** The allowances of all services for this node's further sends. */
export class RetryBudgets {
  readonly #limits: RetryBudgetLimits;
  readonly #countNodes: () => number;
  readonly #budgets = new Map<ServiceId, NodeRetryBudget>();

  /**
   * @param terms The bound for all nodes together.
   * @param nodes Counts the nodes that share it.
   */
  constructor(terms: RetryBudgetLimits, nodes: () => number) {
    this.#limits = terms;
    this.#countNodes = nodes;
  }

  /**
   * Takes note of a request.
   * @param now The present time.
   * @param service The service that it is for.
   */
  earn(now: Instant, service: ServiceId): void {
    this.#budgetOf(service).recordRequest(now);
  }

  /**
   * Takes a further send from a service's allowance.
   * @param now The present time.
   * @param service The service.
   * @returns Whether the send is allowed.
   */
  take(now: Instant, service: ServiceId): boolean {
    return this.#budgetOf(service).tryTake(
      now,
      Math.max(1, this.#countNodes()),
    );
  }

  #budgetOf(service: ServiceId): NodeRetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new NodeRetryBudget(this.#limits);
    this.#budgets.set(service, budget);
    return budget;
  }
}
