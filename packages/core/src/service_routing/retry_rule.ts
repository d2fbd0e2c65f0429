import type { Instant } from "../shared/mod.ts";
import { AttemptBudget } from "./attempt_budget.ts";
import type { PendingCall } from "./pending_call.ts";
import type { ServerSet } from "./server_set.ts";
import { type AttemptResult, isProvenNotRun } from "./service_call.ts";
import type { ServicePolicy } from "./service_policy.ts";

/** How many attempts a call gets, hedges included. */
export const MOST_ATTEMPTS = 3;
const RETRY_SHARE = 0.1;
const RETRY_RESERVE = 10;

/** Decides which failed calls get another attempt. */
export class RetryRule {
  readonly #policy: ServicePolicy;
  readonly #servers: ServerSet;
  readonly #budget = new AttemptBudget(RETRY_SHARE, RETRY_RESERVE);

  /**
   * @param policy Whether there are retries.
   * @param servers The service's servers.
   */
  constructor(policy: ServicePolicy, servers: ServerSet) {
    this.#policy = policy;
    this.#servers = servers;
  }

  /** Earns for one call. */
  earn(): void {
    this.#budget.earn();
  }

  /**
   * Decides whether a call gets another attempt, and pays for it.
   * @param now The present time.
   * @param call The call.
   * @param result How its last attempt ended.
   * @returns Whether it is safe, in time and within the budget.
   */
  mayRetry(now: Instant, call: PendingCall, result: AttemptResult): boolean {
    const isSafe = call.repeatable || isProvenNotRun(result);
    if (!isSafe || !this.#policy.retries) return false;
    if (call.attempts >= MOST_ATTEMPTS || call.deadline <= now) return false;
    return this.#servers.anyEligible(now) && this.#budget.spend();
  }
}
