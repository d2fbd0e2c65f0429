import type { Instant } from "../shared/mod.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import type { PendingCall } from "./pending_call.ts";
import type { ServerSet } from "./server_set.ts";
import { type AttemptResult, isProvenNotRun } from "./service_call.ts";
import type { ServicePolicy } from "./service_policy.ts";

/** Maximum attempts per call, including hedged ones. */
export const MAXIMUM_ATTEMPTS = 3;
const RETRIES_PER_CALL = 0.1;
const RETRY_BUDGET_CAPACITY = 10;

/** Decides which failed calls get another attempt. */
export class RetryRule {
  readonly #policy: ServicePolicy;
  readonly #servers: ServerSet;
  readonly #budget = new AttemptBudget(RETRIES_PER_CALL, RETRY_BUDGET_CAPACITY);

  /**
   * @param policy Whether retries are enabled.
   * @param servers The service's servers.
   */
  constructor(policy: ServicePolicy, servers: ServerSet) {
    this.#policy = policy;
    this.#servers = servers;
  }

  /** Adds the budget of one call. */
  addCall(): void {
    this.#budget.deposit();
  }

  /**
   * Decides whether a call gets another attempt, and withdraws its budget.
   * @param now The present time.
   * @param call The call.
   * @param result How its last attempt ended.
   * @returns Whether a retry is safe, in time and within the budget.
   */
  tryRetry(now: Instant, call: PendingCall, result: AttemptResult): boolean {
    const isSafe = call.repeatable || isProvenNotRun(result);
    if (!isSafe || !this.#policy.retries) return false;
    if (call.attempts >= MAXIMUM_ATTEMPTS || call.deadline <= now) return false;
    return this.#servers.anyEligible(now) && this.#budget.tryWithdraw();
  }
}
