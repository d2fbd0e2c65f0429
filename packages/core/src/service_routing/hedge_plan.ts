import {
  type Instant,
  later,
  milliseconds,
  type RequestId,
} from "../shared/mod.ts";
import type { LatencyWindow } from "./latency_window.ts";
import { AttemptBudget } from "./attempt_budget.ts";

const HEDGE_PERCENTILE = 95;
const SHORTEST_DELAY_MILLISECONDS = 2;
const HEDGE_SHARE = 0.05;
const HEDGE_RESERVE = 5;
const HIGHEST_USE = 0.7;

/**
 * Plans second attempts at calls that take longer than nearly all others,
 * within a budget and only while the servers have places to spare.
 */
export class HedgePlan {
  readonly #budget = new AttemptBudget(HEDGE_SHARE, HEDGE_RESERVE);
  readonly #due = new Map<RequestId, Instant>();

  /** Earns for one call. */
  earn(): void {
    this.#budget.earn();
  }

  /**
   * Plans a second attempt.
   * @param now The present time.
   * @param call The call, which has just been dispatched.
   * @param latencies What calls take.
   */
  plan(now: Instant, call: RequestId, latencies: LatencyWindow): void {
    const percentile = latencies.percentile(HEDGE_PERCENTILE);
    if (percentile === undefined) return;
    const delay = Math.max(SHORTEST_DELAY_MILLISECONDS, percentile);
    this.#due.set(call, later(now, milliseconds(delay)));
  }

  /**
   * Drops a call's plan.
   * @param call The call.
   */
  forget(call: RequestId): void {
    this.#due.delete(call);
  }

  /**
   * Takes the calls whose second attempt is due. Plans stand in the order in
   * which they were made, which is nearly that in which they come due.
   * @param now The present time.
   * @returns The calls.
   */
  takeDue(now: Instant): readonly RequestId[] {
    const taken: RequestId[] = [];
    for (const [call, due] of this.#due) {
      if (due > now) break;
      taken.push(call);
      this.#due.delete(call);
    }
    return taken;
  }

  /**
   * Tells when the next second attempt is due.
   * @returns The time, or nothing.
   */
  nextDue(): Instant | undefined {
    for (const due of this.#due.values()) return due;
    return undefined;
  }

  /**
   * Decides on a second attempt that is due.
   * @param capacity The servers' places and how many are taken.
   * @returns Whether it may be made.
   */
  allows(
    capacity: { readonly limit: number; readonly inFlight: number },
  ): boolean {
    if (capacity.inFlight > capacity.limit * HIGHEST_USE) return false;
    return this.#budget.spend();
  }
}
