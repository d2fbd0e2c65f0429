/** Something that has gathered output and can write it. */
export interface Flushable {
  /** Writes what was gathered. */
  flush(): void;
}

/**
 * The least time between two writes to one stream. It keeps well under the
 * 26 ms between tokens that callers are promised, so that tokens which come
 * faster go out together.
 */
export const WRITE_INTERVAL_MILLISECONDS = 10;

/**
 * Flushes all streams that gather by one timer, since a timer for each of
 * thousands of streams costs more than the writes that it spares.
 */
export class StreamFlusher {
  #gathering: Flushable[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * Flushes a stream within the write interval.
   * @param stream The stream; to be added once for each flush.
   */
  add(stream: Flushable): void {
    this.#gathering.push(stream);
    this.#timer ??= setTimeout(() => {
      this.#flushAll();
    }, WRITE_INTERVAL_MILLISECONDS);
  }

  #flushAll(): void {
    this.#timer = undefined;
    const due = this.#gathering;
    this.#gathering = [];
    for (const stream of due) stream.flush();
  }
}
