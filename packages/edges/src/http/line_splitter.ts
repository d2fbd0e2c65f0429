import { ByteCollector } from "@foxtailwind/core";

const LINE_FEED_BYTE = 10;

/** Thrown when a line exceeds the limit; the stream cannot be read further. */
export class LineTooLongError extends Error {
  constructor(limit: number) {
    super(`Cannot read the stream: a line is longer than ${limit} bytes`);
    this.name = "LineTooLongError";
  }
}

/**
 * Splits a byte stream into lines. Only complete lines are decoded, so that a
 * character split across two chunks is decoded correctly.
 */
export class LineSplitter {
  readonly #onLine: (line: string) => void;
  readonly #maximumBytes: number;
  readonly #pending = new ByteCollector();

  /**
   * @param onLine Receives each non-empty line, without its line feed.
   * @param maximumBytes The maximum length of a line.
   */
  constructor(onLine: (line: string) => void, maximumBytes: number) {
    this.#onLine = onLine;
    this.#maximumBytes = maximumBytes;
  }

  /**
   * Adds the next chunk and emits each line that it completes.
   * @param chunk The bytes.
   */
  push(chunk: Buffer): void {
    const lastLineFeed = chunk.lastIndexOf(LINE_FEED_BYTE);
    if (lastLineFeed < 0) {
      this.#keepPending(chunk);
      return;
    }
    const text = this.#takePendingText(chunk, lastLineFeed);
    if (lastLineFeed + 1 < chunk.length) {
      this.#keepPending(chunk.subarray(lastLineFeed + 1));
    }
    this.#emitLines(text);
  }

  /** The number of buffered bytes of the incomplete line. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  #keepPending(chunk: Buffer): void {
    if (this.#pending.length + chunk.length > this.#maximumBytes) {
      throw new LineTooLongError(this.#maximumBytes);
    }
    this.#pending.append(chunk);
  }

  #takePendingText(chunk: Buffer, end: number): string {
    if (this.#pending.length === 0) return chunk.toString("utf8", 0, end);
    this.#pending.append(chunk.subarray(0, end));
    const text = this.#pending.bytes.toString("utf8");
    this.#pending.clear();
    return text;
  }

  #emitLines(text: string): void {
    let start = 0;
    let end = text.indexOf("\n");
    while (end >= 0) {
      if (end > start) this.#onLine(text.slice(start, end));
      start = end + 1;
      end = text.indexOf("\n", start);
    }
    if (start < text.length) {
      this.#onLine(start === 0 ? text : text.slice(start));
    }
  }
}
