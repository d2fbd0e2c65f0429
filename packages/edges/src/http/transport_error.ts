import type { Failure, FailureReason, FailureStep } from "@foxtailwind/core";

/** The state of an exchange when its transport failed. */
export interface TransportErrorContext {
  readonly step: FailureStep;
  readonly peer: string;
  /** Whether any byte of the request may have been sent. */
  readonly started: boolean;
}

const REASON_BY_CODE: Readonly<Record<string, FailureReason>> = {
  UND_ERR_CONNECT_TIMEOUT: "timeout",
  UND_ERR_HEADERS_TIMEOUT: "timeout",
  UND_ERR_BODY_TIMEOUT: "timeout",
  UND_ERR_INVALID_ARG: "invalid",
  UND_ERR_ABORTED: "cancelled",
};

/**
 * Creates the failure of an exchange without a complete response. A request
 * that was never written to a connection has certainly not run; the outcome of
 * any other is unknown.
 * @param error The error that the transport reported.
 * @param context The state of the exchange.
 * @returns The failure.
 */
export function failureFromTransportError(
  error: Error,
  context: TransportErrorContext,
): Failure {
  return {
    reason: reasonForError(error),
    step: context.step,
    peer: context.peer,
    message: `Cannot complete the exchange: ${error.message}`,
    outcome: context.started ? "unknown" : "not_run",
  };
}

function reasonForError(error: Error): FailureReason {
  if (error.name === "AbortError") return "cancelled";
  if (!("code" in error) || typeof error.code !== "string") {
    return "unavailable";
  }
  return REASON_BY_CODE[error.code] ?? "unavailable";
}
