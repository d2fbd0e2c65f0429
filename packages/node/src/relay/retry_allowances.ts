import {
  type Instant,
  NodeRetryBudget,
  type RetryBudgetLimits,
  type ServiceId,
} from "@foxtailwind/core";

/** The allowances of all services for this node's further sends. */
export class RetryAllowances {
  readonly #terms: RetryBudgetLimits;
  readonly #nodes: () => number;
  readonly #allowances = new Map<ServiceId, NodeRetryBudget>();

  /**
   * @param terms The bound for all nodes together.
   * @param nodes Counts the nodes that share it.
   */
  constructor(terms: RetryBudgetLimits, nodes: () => number) {
    this.#terms = terms;
    this.#nodes = nodes;
  }

  /**
   * Takes note of a request.
   * @param now The present time.
   * @param service The service that it is for.
   */
  earn(now: Instant, service: ServiceId): void {
    this.#of(service).recordRequest(now);
  }

  /**
   * Takes a further send from a service's allowance.
   * @param now The present time.
   * @param service The service.
   * @returns Whether the send is allowed.
   */
  take(now: Instant, service: ServiceId): boolean {
    return this.#of(service).tryTake(now, Math.max(1, this.#nodes()));
  }

  #of(service: ServiceId): NodeRetryBudget {
    const known = this.#allowances.get(service);
    if (known !== undefined) return known;
    const allowance = new NodeRetryBudget(this.#terms);
    this.#allowances.set(service, allowance);
    return allowance;
  }
}
