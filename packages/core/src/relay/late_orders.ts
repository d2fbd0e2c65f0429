import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * How long an order without an answer may still be carried out. The platform
 * speaks of seconds; this is several times what was seen.
 */
const LATEST: Duration = milliseconds(10_000);

interface LateOrder {
  readonly sentAt: Instant;
  /** Orders that the engine must have accepted before it. */
  readonly expected: number;
}

/**
 * Loads that one owner has sent to earlier starts of an engine without an
 * answer. A start begins its count of orders anew, so that such a load may be
 * carried out there once the count is what it expects, in a slot that must
 * then be free.
 */
export class LateOrders {
  #orders: readonly LateOrder[] = [];

  /**
   * Takes note of a load that got no answer.
   * @param now The present time.
   * @param expected The count of orders that it expects before it.
   */
  add(now: Instant, expected: number): void {
    this.#orders = [...this.#pending(now), { sentAt: now, expected }];
  }

  /**
   * Takes over what was noted elsewhere.
   * @param late The others.
   */
  include(late: LateOrders): void {
    this.#orders = [...this.#orders, ...late.#orders];
  }

  /**
   * Counts the slots that late loads may take from now on. Loads that expect
   * the same count take one between them: the first one that comes changes it.
   * @param now The present time.
   * @param count The orders that the engine has accepted.
   * @returns The slots to be kept free.
   */
  slots(now: Instant, count: number): number {
    this.#orders = this.#pending(now);
    const expected = this.#orders.map((order) => order.expected);
    return new Set(expected.filter((one) => one >= count)).size;
  }

  #pending(now: Instant): readonly LateOrder[] {
    return this.#orders.filter((order) => elapsed(order.sentAt, now) < LATEST);
  }
}
