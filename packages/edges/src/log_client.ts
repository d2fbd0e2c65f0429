import type { Failure, LogOffset } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** A record as the log keeps it. */
export interface LogRecord {
  readonly offset: LogOffset;
  /** The record's text; its form is the stream's own. */
  readonly data: string;
}

/** A piece of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The offset that the next append would take, as of this read. */
  readonly tail: LogOffset;
  /** The oldest offset still kept; reads below it lose records. */
  readonly firstKept: LogOffset;
}

/** The edge to the platform's append-only log service. */
export abstract class LogClient {
  /**
   * Appends records to a stream, in order and next to each other.
   * A failure with outcome `unknown` may have taken effect.
   * @param stream The stream's name.
   * @param data The records' texts.
   * @returns The offset of the first record.
   */
  abstract append(
    stream: string,
    data: readonly string[],
  ): Promise<Result<LogOffset, Failure>>;

  /**
   * Reads a stream.
   * @param stream The stream's name.
   * @param options Where to start, how many at most, and how long to wait
   * for a first record where there is none yet (0: answer at once).
   * @returns The page, empty at the tail.
   */
  abstract read(
    stream: string,
    options: {
      readonly from: LogOffset;
      readonly limit: number;
      readonly waitMilliseconds: number;
    },
  ): Promise<Result<LogPage, Failure>>;
}
