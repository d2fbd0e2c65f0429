import type { ChangeId, LogOffset } from "../shared/mod.ts";
import type { FirstVerdict } from "./verdict.ts";

/**
 * How many changes are remembered by id: over five hours at 36,000 a day. A
 * repeat that comes later is still never applied twice, since its base is then
 * below the versions that the first one made; only its answer is less exact.
 */
export const REMEMBERED_CHANGES = 8_192;

/** A change that was read, and what became of it. */
export interface RecentChange {
  readonly id: ChangeId;
  readonly offset: LogOffset;
  readonly author: string;
  /** The items, shortened. */
  readonly summary: string;
  /** A hash of the changes, to tell a reused id from a repeat. */
  readonly fingerprint: number;
  readonly verdict: FirstVerdict;
}

/** The latest changes by id, oldest first, bounded. */
export class RecentChanges {
  readonly #changes = new Map<ChangeId, RecentChange>();

  /** The changes, oldest first. */
  get all(): Iterable<RecentChange> {
    return this.#changes.values();
  }

  /** How many are remembered. */
  get size(): number {
    return this.#changes.size;
  }

  /**
   * Finds a change.
   * @param id Its id.
   * @returns The change, where it is remembered.
   */
  find(id: ChangeId): RecentChange | undefined {
    return this.#changes.get(id);
  }

  /**
   * Remembers a change, in the place of the oldest where there are too many.
   * @param change The change.
   * @returns The change that is forgotten for it.
   */
  remember(change: RecentChange): RecentChange | undefined {
    this.#changes.set(change.id, change);
    if (this.#changes.size <= REMEMBERED_CHANGES) return undefined;
    const [oldest] = this.#changes.values();
    if (oldest !== undefined) this.#changes.delete(oldest.id);
    return oldest;
  }

  /**
   * Lists the latest changes.
   * @param limit How many at most.
   * @returns The changes, latest first.
   */
  latest(limit: number): readonly RecentChange[] {
    return limit <= 0
      ? []
      : [...this.#changes.values()].slice(-limit).reverse();
  }
}
