import type { Failure, FailureReason, FailureStep } from "@foxtailwind/core";
import * as z from "zod";

/** The body of a peer's error response. */
export const reportedFailureSchema = z.object({
  reason: z.enum([
    "invalid",
    "not_found",
    "conflict",
    "overloaded",
    "unavailable",
    "timeout",
    "cancelled",
    "fenced",
    "expired",
    "mismatch",
    "corrupt",
    "refused",
  ]),
  message: z.string(),
  outcome: z.enum(["not_run", "unknown", "ran"]),
  retryAfterMilliseconds: z.number().nonnegative().exactOptional(),
});

/** A failure as peers send it. */
export type ReportedFailure = Readonly<z.infer<typeof reportedFailureSchema>>;

/** The step and the peer of a failed call. */
export interface FailedCall {
  readonly step: FailureStep;
  readonly peer: string;
}

/**
 * Reads the failure from a response with an error status. Unless the peer
 * reports an outcome, it is unknown.
 * @param response The status and the body.
 * @param call The step and the peer.
 * @returns The failure.
 */
export function failureFromResponse(
  response: { readonly status: number; readonly body: string },
  call: FailedCall,
): Failure {
  const stated = reportedFailureSchema.safeParse(parseJson(response.body));
  if (stated.success) return { ...stated.data, ...call };
  return {
    ...call,
    reason: reasonForStatus(response.status),
    message: `Cannot use the answer with status ${response.status}`,
    outcome: "unknown",
  };
}

/**
 * Parses JSON without throwing.
 * @param text The text.
 * @returns The value, or `undefined` if the text is not JSON.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function reasonForStatus(status: number): FailureReason {
  switch (status) {
    case 400:
      return "invalid";
    case 404:
      return "not_found";
    case 409:
      return "conflict";
    case 429:
      return "overloaded";
    default:
      return status >= 500 ? "unavailable" : "refused";
  }
}
