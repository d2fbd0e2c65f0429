import type { Writable } from "node:stream";
import type { SteadyClock } from "../clock/steady_clock.ts";

/** Lines are dropped while more than this waits for a slow log reader. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1_024;
const SECOND_MILLISECONDS = 1_000;

/**
 * Writes a limited number of log lines per second and never waits for their
 * reader. Dropped lines are counted, and the count is logged before the next
 * line.
 */
export class BoundedWriter {
  readonly #stream: Writable;
  readonly #clock: SteadyClock;
  readonly #linesPerSecond: number;
  #windowStart = 0;
  #windowLineCount = 0;
  #droppedCount = 0;

  /**
   * @param stream Where lines are written.
   * @param clock Measures the seconds.
   * @param linesPerSecond The most lines written per second.
   */
  constructor(stream: Writable, clock: SteadyClock, linesPerSecond: number) {
    this.#stream = stream;
    this.#clock = clock;
    this.#linesPerSecond = linesPerSecond;
  }

  /**
   * Writes or drops a line.
   * @param line The line, including its line break.
   */
  write(line: string): void {
    const now = this.#clock.now();
    if (now - this.#windowStart >= SECOND_MILLISECONDS) {
      this.#windowStart = now;
      this.#windowLineCount = 0;
    }
    const isDropped = this.#windowLineCount >= this.#linesPerSecond ||
      this.#stream.writableLength > MAXIMUM_BUFFERED_BYTES;
    if (isDropped) {
      this.#droppedCount += 1;
      return;
    }
    this.#windowLineCount += 1;
    const droppedCount = this.#droppedCount;
    this.#droppedCount = 0;
    this.#stream.write(
      droppedCount === 0 ? line : `${formatDroppedLines(droppedCount)}${line}`,
    );
  }
}

function formatDroppedLines(count: number): string {
  const line = { level: "warn", message: "log: Lines were dropped.", count };
  return `${JSON.stringify(line)}\n`;
}
