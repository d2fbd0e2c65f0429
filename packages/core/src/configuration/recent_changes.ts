import type { ChangeId, LogOffset } from "../shared/mod.ts";
import type { FirstVerdict } from "./verdict.ts";

/**
 * How many changes are remembered by id: over five hours at 36,000 a day. A
 * later repeat is still never applied twice, since its base is then lower than
 * the versions that the first one produced; only its verdict is less precise.
 */
export const REMEMBERED_CHANGES = 8_192;

/** A change that was read, with its verdict. */
export interface RecentChange {
  readonly id: ChangeId;
  readonly offset: LogOffset;
  readonly author: string;
  /** A short description of the changed items. */
  readonly summary: string;
  /** A hash of the changes, to distinguish a reused id from a repeat. */
  readonly fingerprint: number;
  readonly verdict: FirstVerdict;
}

/** A bounded collection of the latest changes by id, oldest first. */
export class RecentChanges {
  readonly #changes = new Map<ChangeId, RecentChange>();

  /** The changes, oldest first. */
  get all(): Iterable<RecentChange> {
    return this.#changes.values();
  }

  /** The number of remembered changes. */
  get size(): number {
    return this.#changes.size;
  }

  /**
   * Finds a change.
   * @param id Its id.
   * @returns The change, or undefined if it is not remembered.
   */
  find(id: ChangeId): RecentChange | undefined {
    return this.#changes.get(id);
  }

  /**
   * Remembers a change and evicts the oldest one beyond the limit.
   * @param change The change.
   * @returns The evicted change, if any.
   */
  remember(change: RecentChange): RecentChange | undefined {
    this.#changes.set(change.id, change);
    if (this.#changes.size <= REMEMBERED_CHANGES) return undefined;
    const [oldest] = this.#changes.values();
    if (oldest !== undefined) this.#changes.delete(oldest.id);
    return oldest;
  }

  /**
   * Returns the latest changes.
   * @param limit The maximum number of changes.
   * @returns The changes, latest first.
   */
  latest(limit: number): readonly RecentChange[] {
    return limit <= 0
      ? []
      : [...this.#changes.values()].slice(-limit).reverse();
  }
}
