import { type LogOffset, logOffset } from "@foxtailwind/core";
import type { LogPage, LogRecord } from "@foxtailwind/edges";

/** The limits on the records that a stream retains. */
export interface Retention {
  readonly milliseconds: number;
  readonly records: number;
}

interface RetainedRecord extends LogRecord {
  readonly appendedAt: number;
}

/** A stream of the log: records at consecutive offsets. */
export class LogStream {
  readonly #retention: Retention;
  #records: RetainedRecord[] = [];
  #tail = 0;
  #waiters: (() => void)[] = [];

  /** @param retention The limits on the retained records. */
  constructor(retention: Retention) {
    this.#retention = retention;
  }

  /**
   * Appends records at consecutive offsets.
   * @param data The data of the records.
   * @param now A monotonic clock reading in milliseconds.
   * @returns The offset of the first record.
   */
  append(data: readonly string[], now: number): LogOffset {
    const first = logOffset(this.#tail);
    for (const text of data) {
      const offset = logOffset(this.#tail);
      this.#records.push({ offset, data: text, appendedAt: now });
      this.#tail += 1;
    }
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
    return first;
  }

  /**
   * Reads a page of the retained records.
   * @param from The first offset to read.
   * @param options The maximum number of records and the time.
   * @returns The page.
   */
  read(
    from: number,
    options: { readonly limit: number; readonly now: number },
  ): LogPage {
    this.#applyRetention(options.now);
    const firstKept = this.#records[0]?.offset ?? logOffset(this.#tail);
    const skipped = Math.max(0, from - firstKept);
    const records = this.#records.slice(skipped, skipped + options.limit);
    return {
      records: records.map(({ offset, data }) => ({ offset, data })),
      tail: logOffset(this.#tail),
      firstKept,
    };
  }

  /**
   * Waits for the next append.
   * @param milliseconds The maximum wait.
   * @returns A promise that resolves at the append or after the maximum wait.
   */
  waitForAppend(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiters = this.#waiters.filter((waiter) => waiter !== wake);
        resolve();
      }, milliseconds);
      const wake = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiters.push(wake);
    });
  }

  #applyRetention(now: number): void {
    const { milliseconds, records } = this.#retention;
    const retainedSince = now - milliseconds;
    let expiredCount = Math.max(0, this.#records.length - records);
    while (
      (this.#records[expiredCount]?.appendedAt ?? Infinity) < retainedSince
    ) {
      expiredCount += 1;
    }
    if (expiredCount > 0) this.#records = this.#records.slice(expiredCount);
  }
}
