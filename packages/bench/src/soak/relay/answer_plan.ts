import { Draws } from "./draws.ts";

/** What a server makes of a request. */
export type AnswerKind =
  /** It runs it, and answers with the request's own body. */
  | "run"
  /** It doesn't run it, and says so. */
  | "refuse"
  /** The same, without naming the request. */
  | "refuse_unnamed"
  /** It runs it, and says that it failed. */
  | "fail"
  /** It runs it, and the answer is lost. */
  | "lose"
  /** It runs it, and writes the answer of another request. */
  | "foreign"
  /** It runs it, and writes a body that nothing attests. */
  | "garble";

/** How the end of an answer's body is told. */
export type AnswerFraming = "length" | "chunks" | "connection";

/** What becomes of an answer before its end. */
export type AnswerBreak = "none" | "reset" | "close" | "silence";

/** What a server does with one send. */
export interface AnswerPlan {
  readonly kind: AnswerKind;
  readonly framing: AnswerFraming;
  readonly break: AnswerBreak;
  /** Before the head, in milliseconds. */
  readonly delay: number;
  /** Pieces of the body before the break. */
  readonly piecesBefore: number;
  /**
   * After which the same bytes are written once more, in milliseconds, or that
   * they are as soon as the connection's next request has come.
   */
  readonly repeatedAfter?: number | "next_request";
  /** The backoff that a refusal asks for, in seconds. */
  readonly retryAfter?: number;
}

const TROUBLE_SHARE = 0.35;
const FRAMINGS = ["length", "chunks", "chunks", "connection"] as const;
const TROUBLES = [
  "refuse",
  "refuse",
  "refuse_unnamed",
  "fail",
  "lose",
  "foreign",
  "garble",
  "run",
  "run",
  "run",
  "run",
] as const;
const BREAKS = ["reset", "close", "reset", "close", "silence"] as const;
/** An answer that is late, but within a caller's time, in milliseconds. */
const LATE_MILLISECONDS = 500;
const LONGEST_REPEAT_MILLISECONDS = 60;
const PIECES = 4;
/** The share of refusals that ask for a backoff. */
const BACKOFF_SHARE = 0.5;
const BACKOFF_MILLISECONDS = { min: 700, max: 2_500 } as const;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Decides what a server does with a send.
 * @param seed The run's seed.
 * @param request The request's id.
 * @param sends How many servers had it before.
 * @returns What it does.
 */
export function planAnswer(
  seed: number,
  request: string,
  sends: number,
): AnswerPlan {
  const draws = new Draws(seed, `${request}/${sends}`);
  const isTroubled = draws.happens(TROUBLE_SHARE);
  const kind = isTroubled ? draws.pick(TROUBLES) : "run";
  const isBroken = isTroubled && kind === "run";
  // Nothing tells a copy that names no request from the next one's answer.
  const isRepeated = draws.happens(0.1) && kind !== "refuse_unnamed";
  const delay = draws.happens(0.05)
    ? draws.between(0, LATE_MILLISECONDS)
    : draws.between(0, 10);
  const isRefusal = kind === "refuse" || kind === "refuse_unnamed";
  return {
    kind,
    framing: kind === "run" ? draws.pick(FRAMINGS) : "length",
    break: isBroken || kind === "lose" ? draws.pick(BREAKS) : "none",
    delay,
    piecesBefore: draws.between(0, PIECES),
    ...(isRepeated ? { repeatedAfter: drawRepeat(draws) } : {}),
    ...(isRefusal ? drawBackoff(seed, `${request}/${sends}`) : {}),
  };
}

/** Drawn by itself, so that what else a seed decides stays as it is. */
function drawBackoff(
  seed: number,
  send: string,
): Pick<AnswerPlan, "retryAfter"> {
  const draws = new Draws(seed, `backoff of ${send}`);
  if (!draws.happens(BACKOFF_SHARE)) return {};
  const { min, max } = BACKOFF_MILLISECONDS;
  return { retryAfter: draws.between(min, max) / MILLISECONDS_PER_SECOND };
}

function drawRepeat(draws: Draws): number | "next_request" {
  return draws.happens(0.5)
    ? "next_request"
    : draws.between(1, LONGEST_REPEAT_MILLISECONDS);
}
