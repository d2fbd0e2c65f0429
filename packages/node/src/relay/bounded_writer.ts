import type { Writable } from "node:stream";
import type { SteadyClock } from "../clock/steady_clock.ts";

/** A line is dropped while so much waits for a slow reader of the log. */
const MOST_UNREAD_BYTES = 256 * 1_024;
const SECOND_MILLISECONDS = 1_000;

/**
 * Writes log lines up to a number a second and never waits for their reader.
 * What is dropped is counted, and said with the next line.
 */
export class BoundedWriter {
  readonly #stream: Writable;
  readonly #clock: SteadyClock;
  readonly #linesASecond: number;
  #windowStart = 0;
  #lines = 0;
  #dropped = 0;

  /**
   * @param stream Where lines go.
   * @param clock Tells when a second is over.
   * @param linesASecond How many lines a second are written.
   */
  constructor(stream: Writable, clock: SteadyClock, linesASecond: number) {
    this.#stream = stream;
    this.#clock = clock;
    this.#linesASecond = linesASecond;
  }

  /**
   * Writes a line, or drops it.
   * @param line The line, its end included.
   */
  write(line: string): void {
    const now = this.#clock.now();
    if (now - this.#windowStart >= SECOND_MILLISECONDS) {
      this.#windowStart = now;
      this.#lines = 0;
    }
    const isOver = this.#lines >= this.#linesASecond ||
      this.#stream.writableLength > MOST_UNREAD_BYTES;
    if (isOver) {
      this.#dropped += 1;
      return;
    }
    this.#lines += 1;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#stream.write(dropped === 0 ? line : `${droppedLine(dropped)}${line}`);
  }
}

function droppedLine(count: number): string {
  const line = { level: "warn", message: "log: Lines were dropped.", count };
  return `${JSON.stringify(line)}\n`;
}
