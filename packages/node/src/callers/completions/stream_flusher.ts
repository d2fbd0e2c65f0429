/** A stream with buffered output. */
export interface Flushable {
  /** Writes the buffered output. */
  flush(): void;
}

/**
 * The minimum time between two writes to one stream. It is well below the
 * 26 ms between tokens that callers are promised; tokens that arrive faster
 * are written together.
 */
export const WRITE_INTERVAL_MILLISECONDS = 10;

/**
 * Flushes all buffering streams from one timer, because a timer for each of
 * thousands of streams costs more than the writes that it saves.
 */
export class StreamFlusher {
  #scheduled: Flushable[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * Schedules a flush of the stream within the write interval.
   * @param stream The stream; add it once per flush.
   */
  add(stream: Flushable): void {
    this.#scheduled.push(stream);
    this.#timer ??= setTimeout(() => {
      this.#flushAll();
    }, WRITE_INTERVAL_MILLISECONDS);
  }

  #flushAll(): void {
    this.#timer = undefined;
    const due = this.#scheduled;
    this.#scheduled = [];
    for (const stream of due) stream.flush();
  }
}
