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
    !mayHaveBody(method, status);
  return hasLength ? "length" : "connection";
}

/**
 * Checks whether a success on a streaming route is a stream of events: it is one
 * unless its content type says otherwise.
 * @param method The request's method.
 * @param head The answer's head.
 * @returns Whether it is one.
 */
export function isEventStream(
  method: string | undefined,
  { status, headers }: AnswerHead,
): boolean {
  if (!mayHaveBody(method, status)) return false;
  const type = headers["content-type"];
  return type === undefined || String(type).startsWith(EVENT_STREAM_TYPE);
}

function mayHaveBody(method: string | undefined, status: number): boolean {
  return method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(status);
}
