import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * How long an order without an answer may still be carried out. The platform
 * speaks of seconds; this is several times what was observed.
 */
const MAXIMUM_DELAY: Duration = milliseconds(10_000);

interface UnansweredLoad {
  readonly sentAt: Instant;
  /** The order count that the engine must have reached before it. */
  readonly expected: number;
}

/**
 * Load orders without an answer that one owner has sent to earlier starts of an
 * engine. Each start counts orders from zero, so such a load may still be
 * carried out once the count reaches the expected value, and needs a free slot
 * then.
 */
export class UnansweredLoads {
  #loads: readonly UnansweredLoad[] = [];

  /**
   * Records a load without an answer.
   * @param now The present time.
   * @param expected The order count that it expects.
   */
  add(now: Instant, expected: number): void {
    this.#loads = [...this.#pending(now), { sentAt: now, expected }];
  }

  /**
   * Adds the loads of another instance.
   * @param late The other instance.
   */
  merge(late: UnansweredLoads): void {
    this.#loads = [...this.#loads, ...late.#loads];
  }

  /**
   * Counts the slots that unanswered loads may still take. Loads that expect
   * the same count take one between them: the first to arrive changes the
   * count.
   * @param now The present time.
   * @param count The number of orders that the engine has accepted.
   * @returns The number of slots to keep free.
   */
  reservedSlots(now: Instant, count: number): number {
    this.#loads = this.#pending(now);
    const expected = this.#loads.map((order) => order.expected);
    return new Set(expected.filter((one) => one >= count)).size;
  }

  #pending(now: Instant): readonly UnansweredLoad[] {
    return this.#loads.filter((order) =>
      elapsed(order.sentAt, now) < MAXIMUM_DELAY
    );
  }
}
