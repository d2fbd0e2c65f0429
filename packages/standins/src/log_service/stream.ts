import { type LogOffset, logOffset } from "@foxtailwind/core";
import type { LogPage, LogRecord } from "@foxtailwind/edges";

/** How long a stream keeps its records. */
export interface Retention {
  readonly milliseconds: number;
  readonly records: number;
}

interface KeptRecord extends LogRecord {
  readonly appendedAt: number;
}

/** One stream of the log: records at consecutive offsets. */
export class Stream {
  readonly #retention: Retention;
  #kept: KeptRecord[] = [];
  #tail = 0;
  #waiting: (() => void)[] = [];

  /** @param retention What is kept. */
  constructor(retention: Retention) {
    this.#retention = retention;
  }

  /**
   * Appends records next to each other.
   * @param data The records' texts.
   * @param now Milliseconds of a steady clock.
   * @returns The offset of the first.
   */
  append(data: readonly string[], now: number): LogOffset {
    const first = logOffset(this.#tail);
    for (const text of data) {
      const offset = logOffset(this.#tail);
      this.#kept.push({ offset, data: text, appendedAt: now });
      this.#tail += 1;
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
    return first;
  }

  /**
   * Reads what is still kept.
   * @param from The first offset wanted.
   * @param options How many records at most, and the time.
   * @returns The page.
   */
  read(
    from: number,
    options: { readonly limit: number; readonly now: number },
  ): LogPage {
    this.#trim(options.now);
    const firstKept = this.#kept[0]?.offset ?? logOffset(this.#tail);
    const skipped = Math.max(0, from - firstKept);
    const records = this.#kept.slice(skipped, skipped + options.limit);
    return {
      records: records.map(({ offset, data }) => ({ offset, data })),
      tail: logOffset(this.#tail),
      firstKept,
    };
  }

  /**
   * Waits for the next append.
   * @param milliseconds How long at most.
   * @returns Once there is one, or the time is over.
   */
  waitForAppend(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiting = this.#waiting.filter((one) => one !== wake);
        resolve();
      }, milliseconds);
      const wake = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiting.push(wake);
    });
  }

  #trim(now: number): void {
    const { milliseconds, records } = this.#retention;
    const oldestKept = now - milliseconds;
    let dropped = Math.max(0, this.#kept.length - records);
    while ((this.#kept[dropped]?.appendedAt ?? Infinity) < oldestKept) {
      dropped += 1;
    }
    if (dropped > 0) this.#kept = this.#kept.slice(dropped);
  }
}
