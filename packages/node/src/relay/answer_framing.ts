import type { AnswerHead } from "./backend_call.ts";

/** How the end of an answer's body is marked. */
export type AnswerFraming = "length" | "chunks" | "connection";

const EVENT_STREAM_TYPE = "text/event-stream";
/** Success statuses without a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 205]);

/**
 * Detects how the end of an answer's body is marked.
 * @param method The request's method.
 * @param head The answer's head.
 * @returns The framing.
 */
export function detectFraming(
  method: string | undefined,
  { status, headers }: AnswerHead,
): AnswerFraming {
  if (headers["transfer-encoding"] !== undefined) return "chunks";
  const hasLength = headers["content-length"] !== undefined ||
    method === "HEAD" || STATUSES_WITHOUT_BODY.has(status);
  return hasLength ? "length" : "connection";
}

/**
 * Checks whether an answer on a streaming route may be an event stream: it is
 * one unless its content type says otherwise.
 * @param head The answer's head.
 * @returns Whether it may be one.
 */
export function mayBeEventStream({ headers }: AnswerHead): boolean {
  const type = headers["content-type"];
  return type === undefined || String(type).startsWith(EVENT_STREAM_TYPE);
}
