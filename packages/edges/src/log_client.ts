import type { Failure, LogOffset } from "@foxtailwind/core";
import type { Result } from "neverthrow";

/** A stored log record. */
export interface LogRecord {
  readonly offset: LogOffset;
  /** The record's text, in a format that each stream defines. */
  readonly data: string;
}

/** A range of consecutive records of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The offset of the next append, as of this read. */
  readonly tail: LogOffset;
  /** The oldest retained offset; a read that starts below it misses records. */
  readonly firstKept: LogOffset;
}

/** Client for the platform's append-only log service. */
export abstract class LogClient {
  /**
   * Appends records to a stream, in order and at consecutive offsets.
   * After a failure with outcome `unknown` the records may have been appended.
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
   * @param options The first offset, the maximum number of records, and how
   * long to wait for a first record if there is none yet (0: return at once).
   * @returns The page, which is empty at the tail.
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
