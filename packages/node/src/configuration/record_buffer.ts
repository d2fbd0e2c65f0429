import {
  type LogOffset,
  logOffset,
  type StoredRecord,
} from "@foxtailwind/core";

const MAXIMUM_RECORDS = 4_096;
const MAXIMUM_CHARACTERS = 2 * 1_024 * 1_024;

/** A bounded buffer of the latest log records, to be sent to followers. */
export class RecordBuffer {
  #records: StoredRecord[] = [];
  #startOffset = logOffset(0);
  #characters = 0;

  /**
   * Adds a record and drops the oldest ones beyond the limits.
   * @param record The record, with a higher offset than all earlier ones.
   */
  push(record: StoredRecord): void {
    this.#records.push(record);
    this.#characters += record.data.length;
    while (
      this.#records.length > MAXIMUM_RECORDS ||
      this.#characters > MAXIMUM_CHARACTERS
    ) {
      const oldest = this.#records.shift();
      if (oldest === undefined) return;
      this.#characters -= oldest.data.length;
      this.#startOffset = logOffset(oldest.offset + 1);
    }
  }

  /**
   * Removes all records.
   * @param start The lowest offset that may be read from now on.
   */
  reset(start: LogOffset): void {
    this.#records = [];
    this.#characters = 0;
    this.#startOffset = start;
  }

  /**
   * Reads the records from an offset on.
   * @param from The offset.
   * @returns The records, or `undefined` if some are no longer buffered.
   */
  readFrom(from: LogOffset): readonly StoredRecord[] | undefined {
    if (from < this.#startOffset) return undefined;
    const index = this.#records.findLastIndex(({ offset }) => offset < from);
    return this.#records.slice(index + 1);
  }
}
