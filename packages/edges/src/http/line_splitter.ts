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
  #pendingChunks: Buffer[] = [];
  #pendingBytes = 0;

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
   * @param chunk The bytes. They are kept by reference, not copied.
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
    return this.#pendingBytes;
  }

  #keepPending(chunk: Buffer): void {
    this.#pendingBytes += chunk.length;
    if (this.#pendingBytes > this.#maximumBytes) {
      throw new LineTooLongError(this.#maximumBytes);
    }
    this.#pendingChunks.push(chunk);
  }

  #takePendingText(chunk: Buffer, end: number): string {
    if (this.#pendingBytes === 0) return chunk.toString("utf8", 0, end);
    const bytes = Buffer.concat([
      ...this.#pendingChunks,
      chunk.subarray(0, end),
    ]);
    this.#pendingChunks = [];
    this.#pendingBytes = 0;
    return bytes.toString("utf8");
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
