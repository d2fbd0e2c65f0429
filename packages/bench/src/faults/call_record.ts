/** The outcome of one request as its caller observed it. */
export interface CallRecord {
  readonly kind: "completion" | "booking";
  /** Unique key that the caller chose. */
  readonly key: string;
  /** ID of the node that received the request. */
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly firstTokenAt?: number;
  readonly verdict: CallVerdict;
  /** Status or error text for the detailed report. */
  readonly detail: string;
}

/**
 * How a request ended for its caller:
 * - `whole`: a complete response with the right tokens in order;
 * - `not_run`, `unknown`, `ran`: a typed error with this outcome;
 * - `cut`: a response that was interrupted without a typed error;
 * - `lost`: no response, or an error response without a typed outcome;
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
