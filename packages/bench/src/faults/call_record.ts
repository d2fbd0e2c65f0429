/** What one caller saw of one request. */
export interface CallRecord {
  readonly kind: "completion" | "booking";
  /** The caller's own key; unique. */
  readonly key: string;
  /** The node that the caller talked to. */
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly firstTokenAt?: number;
  readonly verdict: CallVerdict;
  /** A few words for the report's detail. */
  readonly detail: string;
}

/**
 * How a request ended for its caller:
 * - `whole`: the whole answer, the right tokens in their order;
 * - `not_run`, `unknown`, `ran`: a typed error that says so;
 * - `cut`: an answer that broke off with no typed error;
 * - `lost`: no answer at all;
 * - `misdelivered`: tokens that belong to another request or adapter.
 */
export type CallVerdict =
  | "whole"
  | "not_run"
  | "unknown"
  | "ran"
  | "cut"
  | "lost"
  | "misdelivered";
