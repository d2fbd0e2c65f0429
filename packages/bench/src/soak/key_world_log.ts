import {
  type ClaimRecord,
  formatClaimRecord,
  type LogOffset,
  logOffset,
} from "@foxtailwind/core";
import type { OutcomeTimeline } from "./outcome_timeline.ts";

/** How an append ended for who asked for it. */
export type AppendEnd = "appended" | "not_run" | "unknown";

interface Kept {
  readonly offset: LogOffset;
  readonly data: string;
  readonly at: number;
}

const LONGEST_APPEND = 20;
const LATE_APPEND = 400;

/** A log with outages, late appends, lost answers and a short retention. */
export class KeyWorldLog {
  readonly #timeline: OutcomeTimeline;
  readonly #retention: number;
  readonly #records: Kept[] = [];
  #tail = 0;
  isDown = false;

  /**
   * @param timeline The virtual time.
   * @param retention How long records are kept, in milliseconds.
   */
  constructor(timeline: OutcomeTimeline, retention: number) {
    this.#timeline = timeline;
    this.#retention = retention;
  }

  /** The offset that the next append takes. */
  get tail(): LogOffset {
    return logOffset(this.#tail);
  }

  /**
   * Appends a record.
   * @param record The record.
   * @param done Learns how the append ended.
   */
  append(record: ClaimRecord, done: (end: AppendEnd) => void): void {
    const { random } = this.#timeline;
    if (this.isDown) {
      this.#timeline.soon(LONGEST_APPEND, () => {
        done(random.happens(0.5) ? "not_run" : "unknown");
      });
      return;
    }
    const isLate = random.happens(0.1);
    const delay = random.next() * (isLate ? LATE_APPEND : LONGEST_APPEND);
    this.#timeline.after(delay, () => {
      const offset = logOffset(this.#tail);
      const at = this.#timeline.now;
      this.#records.push({ offset, data: formatClaimRecord(record), at });
      this.#tail += 1;
    });
    const isLost = isLate || random.happens(0.15);
    this.#timeline.after(isLost ? LONGEST_APPEND : delay + 1, () => {
      done(isLost ? "unknown" : "appended");
    });
  }

  /**
   * Reads all that is kept from an offset on.
   * @param from The first offset wanted.
   * @returns The records, and the oldest offset kept; nothing in an outage.
   */
  read(from: LogOffset): {
    readonly records: readonly Kept[];
    readonly firstKept: LogOffset;
  } | undefined {
    if (this.isDown) return undefined;
    const oldest = this.#timeline.now - this.#retention;
    const kept = this.#records.filter((record) => record.at >= oldest);
    return {
      records: kept.filter((record) => record.offset >= from),
      firstKept: kept[0]?.offset ?? logOffset(this.#tail),
    };
  }
}
