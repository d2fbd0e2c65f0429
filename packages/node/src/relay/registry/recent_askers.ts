import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";

/** How long a node counts after its last question; two of the longest periods. */
const ASKER_RETENTION = milliseconds(2_000);

/** The nodes that have asked this one for digests lately. */
export class RecentAskers {
  readonly #askedAt = new Map<string, Instant>();

  /**
   * Records a question.
   * @param now The present time.
   * @param address The address of the node that asked.
   */
  record(now: Instant, address: string): void {
    this.#askedAt.set(address, now);
  }

  /**
   * Lists the nodes that have asked lately.
   * @param now The present time.
   * @returns Their addresses.
   */
  addresses(now: Instant): readonly string[] {
    for (const [address, askedAt] of this.#askedAt) {
      if (elapsed(askedAt, now) >= ASKER_RETENTION) {
        this.#askedAt.delete(address);
      }
    }
    return [...this.#askedAt.keys()];
  }
}
