import type { Instant } from "@foxtailwind/core";
import type { AnswerFacts } from "./caller_wire.ts";

/** What kind of answer a server has sent, as far as it has arrived. */
export type AnswerKind =
  /** No answer yet. */
  | "none"
  /** A success, forwarded as it arrives. */
  | "passed"
  /** The server reports that it has not run the request. */
  | "not_run"
  /** The server's own failure, buffered until the decision to forward it. */
  | "failure"
  /** Not an answer to this request, or not a valid one. */
  | "foreign";

/** Listens for what an answer tells about its server. */
export interface AnswerListener {
  /** Called when bytes arrive. */
  readonly onBytes: (now: Instant) => void;
  /** Called when the first bytes of a success's body arrive. */
  readonly onBegun: () => void;
  /** Called before the first event of a stream is forwarded. */
  readonly onFirstEvent: (now: Instant) => void;
  /** Called with the status and the facts of a head for this request. */
  readonly onHead: (status: number, facts: AnswerFacts) => void;
}
