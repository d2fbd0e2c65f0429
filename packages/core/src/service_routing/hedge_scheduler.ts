import {
  type Instant,
  later,
  milliseconds,
  type RequestId,
} from "../shared/mod.ts";
import type { LatencyWindow } from "./latency_window.ts";
import { AttemptBudget } from "./attempt_budget.ts";

const HEDGE_PERCENTILE = 95;
const MINIMUM_DELAY_MILLISECONDS = 2;
const HEDGES_PER_CALL = 0.05;
const HEDGE_BUDGET_CAPACITY = 5;
const MAXIMUM_UTILIZATION = 0.7;

/**
 * Schedules hedged attempts for calls that exceed a high latency percentile,
 * within a budget and only while the servers have spare capacity.
 */
export class HedgeScheduler {
  readonly #budget = new AttemptBudget(HEDGES_PER_CALL, HEDGE_BUDGET_CAPACITY);
  readonly #dueTimes = new Map<RequestId, Instant>();

  /** Adds the budget of one call. */
  addCall(): void {
    this.#budget.deposit();
  }

  /**
   * Schedules a hedged attempt.
   * @param now The present time.
   * @param call The call, which has just been dispatched.
   * @param latencies Recent call latencies.
   */
  schedule(now: Instant, call: RequestId, latencies: LatencyWindow): void {
    const percentile = latencies.percentile(HEDGE_PERCENTILE);
    if (percentile === undefined) return;
    const delay = Math.max(MINIMUM_DELAY_MILLISECONDS, percentile);
    this.#dueTimes.set(call, later(now, milliseconds(delay)));
  }

  /**
   * Cancels a call's hedged attempt.
   * @param call The call.
   */
  cancel(call: RequestId): void {
    this.#dueTimes.delete(call);
  }

  /**
   * Removes and returns the calls whose hedged attempt is due. Entries are in
   * insertion order, which is nearly the order of their due times.
   * @param now The present time.
   * @returns The calls.
   */
  takeDue(now: Instant): readonly RequestId[] {
    const dueCalls: RequestId[] = [];
    for (const [call, dueAt] of this.#dueTimes) {
      if (dueAt > now) break;
      dueCalls.push(call);
      this.#dueTimes.delete(call);
    }
    return dueCalls;
  }

  /**
   * Finds when the next hedged attempt is due.
   * @returns The time, or undefined if none is scheduled.
   */
  nextDue(): Instant | undefined {
    for (const dueAt of this.#dueTimes.values()) return dueAt;
    return undefined;
  }

  /**
   * Checks utilization and withdraws the budget for a hedged attempt.
   * @param capacity The servers' total limit and the calls in flight.
   * @returns Whether the attempt may be made.
   */
  tryAcquire(
    capacity: { readonly limit: number; readonly inFlight: number },
  ): boolean {
    if (capacity.inFlight > capacity.limit * MAXIMUM_UTILIZATION) return false;
    return this.#budget.tryWithdraw();
  }
}
