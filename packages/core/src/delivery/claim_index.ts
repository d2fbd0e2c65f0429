import {
  type Duration,
  elapsed,
  type IdempotencyKey,
  type Instant,
  type LogOffset,
  logOffset,
} from "../shared/mod.ts";
import type { ClaimRecord, KeyClaim } from "./claim_record.ts";

interface Entry {
  readonly claim: KeyClaim;
  readonly offset: LogOffset;
  readonly readAt: Instant;
}

/** Whether the index knows all claims from a key's epoch onwards. */
export type EpochCoverage = "covered" | "too_old" | "ahead";

/**
 * The claims read within the retention window. Only the claim with the lowest
 * offset is kept for each key.
 */
export class ClaimIndex {
  readonly #window: Duration;
  /** In ascending order of offsets. */
  readonly #entries = new Map<IdempotencyKey, Entry>();
  readonly #recordReadTimes = new Map<string, Instant>();
  #firstOffset: LogOffset | undefined;
  #nextOffset = logOffset(0);

  /** @param window How long claims are kept after they are read. */
  constructor(window: Duration) {
    this.#window = window;
  }

  /** The number of keys in the index. */
  get size(): number {
    return this.#entries.size;
  }

  /** The next offset to read. */
  get nextOffset(): LogOffset {
    return this.#nextOffset;
  }

  /**
   * Records the start of a read, and skips offsets that the log has dropped.
   * @param firstKept The oldest offset that the log still keeps.
   */
  noteFirstKept(firstKept: LogOffset): void {
    const isGap = firstKept > this.#nextOffset;
    if (this.#firstOffset === undefined || isGap) this.#firstOffset = firstKept;
    if (isGap) this.#nextOffset = firstKept;
  }

  /**
   * Applies a record, or skips one that cannot be parsed.
   * @param now The present time.
   * @param offset The record's offset; an offset applied before is ignored.
   * @param record The record, or nothing if it cannot be parsed.
   */
  apply(
    now: Instant,
    offset: LogOffset,
    record: ClaimRecord | undefined,
  ): void {
    if (offset < this.#nextOffset) return;
    this.#nextOffset = logOffset(offset + 1);
    if (record === undefined) return;
    this.#recordReadTimes.set(record.id, now);
    for (const claim of record.claims) {
      if (this.#entries.has(claim.key)) continue;
      this.#entries.set(claim.key, { claim, offset, readAt: now });
    }
  }

  /**
   * Tells whether a record was read, and therefore all records before it.
   * @param id The record's id.
   */
  hasRead(id: string): boolean {
    return this.#recordReadTimes.has(id);
  }

  /**
   * Finds the winning claim of a key, which is the one with the lowest offset.
   * @param key The key.
   * @returns The claim, if the key was claimed.
   */
  winner(key: IdempotencyKey): KeyClaim | undefined {
    return this.#entries.get(key)?.claim;
  }

  /**
   * Tells whether the index covers all claims of a key.
   * @param epoch The offset below which the key has no claims.
   * @returns The coverage; only a covered key may be claimed.
   */
  checkEpoch(epoch: LogOffset): EpochCoverage {
    if (epoch > this.#nextOffset) return "ahead";
    if (this.#firstOffset === undefined || epoch < this.#firstOffset) {
      return "too_old";
    }
    return "covered";
  }

  /**
   * Removes claims that are older than the window.
   * @param now The present time.
   */
  prune(now: Instant): void {
    for (const [key, entry] of this.#entries) {
      if (elapsed(entry.readAt, now) <= this.#window) break;
      this.#entries.delete(key);
      this.#firstOffset = logOffset(
        Math.max(this.#firstOffset ?? 0, entry.offset + 1),
      );
    }
    for (const [id, readAt] of this.#recordReadTimes) {
      if (elapsed(readAt, now) <= this.#window) return;
      this.#recordReadTimes.delete(id);
    }
  }
}
