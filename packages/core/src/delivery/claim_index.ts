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

/** Whether a key is new enough for its claims to be known. */
export type EpochVerdict = "covered" | "too_old" | "ahead";

/** The claims of the window, each key's lowest only. */
export class ClaimIndex {
  readonly #window: Duration;
  /** In the order of their offsets. */
  readonly #entries = new Map<IdempotencyKey, Entry>();
  readonly #records = new Map<string, Instant>();
  #from: LogOffset | undefined;
  #next = logOffset(0);

  /** @param window How long claims are kept after they were read. */
  constructor(window: Duration) {
    this.#window = window;
  }

  /** How many keys are known. */
  get size(): number {
    return this.#entries.size;
  }

  /** The offset to read next. */
  get next(): LogOffset {
    return this.#next;
  }

  /**
   * Takes note of where a read of the stream began.
   * @param firstKept The oldest offset that the log still keeps.
   */
  readFrom(firstKept: LogOffset): void {
    const isGap = firstKept > this.#next;
    if (this.#from === undefined || isGap) this.#from = firstKept;
    if (isGap) this.#next = firstKept;
  }

  /**
   * Applies a record, or passes one over that cannot be read.
   * @param now The present time.
   * @param offset Its offset; one that was applied before changes nothing.
   * @param record The record, absent where it cannot be read.
   */
  apply(
    now: Instant,
    offset: LogOffset,
    record: ClaimRecord | undefined,
  ): void {
    if (offset < this.#next) return;
    this.#next = logOffset(offset + 1);
    if (record === undefined) return;
    this.#records.set(record.id, now);
    for (const claim of record.claims) {
      if (this.#entries.has(claim.key)) continue;
      this.#entries.set(claim.key, { claim, offset, readAt: now });
    }
  }

  /**
   * Tells whether a record was read, and so all records before it.
   * @param id The record's id.
   */
  hasRead(id: string): boolean {
    return this.#records.has(id);
  }

  /**
   * Finds the claim that won a key: the one of the lowest offset.
   * @param key The key.
   * @returns The claim, or nothing.
   */
  winner(key: IdempotencyKey): KeyClaim | undefined {
    return this.#entries.get(key)?.claim;
  }

  /**
   * Tells whether all claims of a key are within what is known.
   * @param epoch The offset below which no claim of the key lies.
   * @returns The verdict; only a covered key may be claimed.
   */
  judgeEpoch(epoch: LogOffset): EpochVerdict {
    if (epoch > this.#next) return "ahead";
    if (this.#from === undefined || epoch < this.#from) return "too_old";
    return "covered";
  }

  /**
   * Forgets claims whose window is over.
   * @param now The present time.
   */
  prune(now: Instant): void {
    for (const [key, entry] of this.#entries) {
      if (elapsed(entry.readAt, now) <= this.#window) break;
      this.#entries.delete(key);
      this.#from = logOffset(Math.max(this.#from ?? 0, entry.offset + 1));
    }
    for (const [id, readAt] of this.#records) {
      if (elapsed(readAt, now) <= this.#window) return;
      this.#records.delete(id);
    }
  }
}
