import type { LogLine } from "./log_line.ts";

/** A request that has ended, with the log around it. */
export interface EndedRequest {
  /** The line that reports its end. */
  readonly endLine: LogLine;
  /** The lines from some time before the request's arrival until its end. */
  readonly nearbyLines: readonly LogLine[];
  /** Milliseconds since the Unix epoch. */
  readonly arrivedAt: number;
}

/** Why a request ended as it did. */
export interface Finding {
  readonly cause: string;
  /** The log lines that support the cause. */
  readonly evidence: readonly LogLine[];
}
