import type { Duration } from "@foxtailwind/core";
import type { NodeRefusal } from "./caller_answer.ts";

/** Why a request is refused instead of getting a server's answer. */
export type RelayRefusal =
  | "no_server"
  | "no_engine"
  /** No server runs the software that began the stream. */
  | "no_same_software"
  | "not_run_in_time"
  | "not_run"
  | "lost"
  | "time_limit"
  | "node_stops"
  | "broken_stream"
  /** The request's content has crashed servers. */
  | "quarantined"
  /** No account has the request's API key, or has it any longer. */
  | "unknown_key"
  /** This node can't prove that its configuration is the newest. */
  | "stale_configuration";

/** Sent as `Retry-After` if no better estimate is known, in seconds. */
const DEFAULT_RETRY_AFTER_SECONDS = 0.3;
const MILLISECONDS_PER_SECOND = 1_000;

const UNAUTHORIZED = 401;
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;
/** Refusals of requests that may have run, for reasons other than time. */
const REFUSALS_WITHOUT_ANSWER: ReadonlySet<RelayRefusal> = new Set([
  "lost",
  "quarantined",
  "unknown_key",
  "stale_configuration",
]);

/** What is known about a refused request. */
export interface RefusalTerms {
  /** Whether it is certain that no server has run it or will run it. */
  readonly isNotRun: boolean;
  /** Time after which it may be served, if known. */
  readonly retryAfter?: Duration | undefined;
}

/** The answer to a refused request. */
export interface RefusalAnswer {
  readonly status: number;
  readonly refusal: NodeRefusal;
}

/**
 * Chooses the answer to a refused request. A status that promises that nothing
 * has run is used only if that is certain.
 * @param refusal The refusal.
 * @param terms What is known about the request.
 * @returns The status and the refusal.
 */
export function chooseRefusalAnswer(
  refusal: RelayRefusal,
  { isNotRun, retryAfter }: RefusalTerms,
): RefusalAnswer {
  if (!isNotRun) {
    const isUnanswered = REFUSALS_WITHOUT_ANSWER.has(refusal);
    const status = isUnanswered ? BAD_GATEWAY : GATEWAY_TIMEOUT;
    return { status, refusal: { code: refusal } };
  }
  if (refusal === "unknown_key") {
    return { status: UNAUTHORIZED, refusal: { code: refusal } };
  }
  const retryAfterSeconds = retryAfter === undefined
    ? DEFAULT_RETRY_AFTER_SECONDS
    : retryAfter / MILLISECONDS_PER_SECOND;
  return { status: UNAVAILABLE, refusal: { code: refusal, retryAfterSeconds } };
}
