import type { Instant } from "@foxtailwind/core";

/** What came of a server's answer so far. */
export type PassageVerdict =
  | "none"
  /** A success, passed on as it comes. */
  | "passed"
  /** The server says that it has not run the request. */
  | "not_run"
  /** The server's own failure, kept until it is known whether to pass it. */
  | "failure"
  /** Not an answer to this request. */
  | "foreign";

/** Told of what an answer says of its server. */
export interface PassageListener {
  /** Bytes have come. */
  readonly heard: (now: Instant) => void;
  /** The head names the requests a second that the server takes, or none. */
  readonly named: (limit: number | undefined) => void;
}
