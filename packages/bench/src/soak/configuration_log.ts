import { logOffset, type StoredRecord } from "@foxtailwind/core";
import type { LogOffset } from "@foxtailwind/core";

/** The log of a randomised run: records, snapshots, outages, retention. */
export class ConfigurationLog {
  readonly #records: StoredRecord[] = [];
  readonly #chunks: string[] = [];
  #firstKept = 0;
  isOut = false;

  /** The offset that the next record takes. */
  get tail(): LogOffset {
    return logOffset(this.#records.length);
  }

  /** The oldest record that is kept. */
  get firstKept(): LogOffset {
    return logOffset(this.#firstKept);
  }

  /** All records ever, for the reference reader. */
  get all(): readonly StoredRecord[] {
    return this.#records;
  }

  /**
   * Appends a record.
   * @param data Its text.
   * @returns Its offset.
   */
  append(data: string): LogOffset {
    const offset = this.tail;
    this.#records.push({ offset, data });
    return offset;
  }

  /**
   * Appends chunks of a snapshot.
   * @param chunks The chunks.
   * @returns Their offsets.
   */
  appendChunks(chunks: readonly string[]): readonly LogOffset[] {
    return chunks.map((chunk) => logOffset(this.#chunks.push(chunk) - 1));
  }

  /**
   * Reads chunks of a snapshot.
   * @param offsets Their offsets.
   * @returns The chunks.
   */
  chunksAt(offsets: readonly LogOffset[]): readonly string[] {
    return offsets.flatMap((offset) => this.#chunks[offset] ?? []);
  }

  /**
   * Reads records that are kept.
   * @param from The lowest offset.
   * @param limit How many at most.
   * @returns The records.
   */
  read(from: number, limit: number): readonly StoredRecord[] {
    const start = Math.max(from, this.#firstKept);
    return this.#records.slice(start, start + limit);
  }

  /**
   * Lets retention take all records below an offset.
   * @param offset The offset.
   */
  forgetBelow(offset: number): void {
    this.#firstKept = Math.max(this.#firstKept, offset);
  }
}
