import type { Duration, Failure, ServiceId } from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";

const NO_SERVER_RETRY_MILLISECONDS = 1_000;
const SHORTEST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 5_000;

/**
 * Says that no server of the service takes work.
 * @param service The service.
 * @param call The call.
 * @returns The failure.
 */
export function noServerFailure(
  service: ServiceId,
  call: PendingCall,
): Failure {
  return {
    reason: "unavailable",
    step: "call_service",
    peer: service,
    message: `No server of service "${service}" takes new work.`,
    outcome: call.outcome,
    retryAfterMilliseconds: NO_SERVER_RETRY_MILLISECONDS,
  };
}

/**
 * Says that the service has too much to do for the call.
 * @param service The service.
 * @param call The call.
 * @param wait The wait that is expected for a place.
 * @returns The failure.
 */
export function overloadFailure(
  service: ServiceId,
  call: PendingCall,
  wait: Duration,
): Failure {
  return {
    reason: "overloaded",
    step: "call_service",
    peer: service,
    message: `Service "${service}" cannot answer within its target.`,
    outcome: call.outcome,
    retryAfterMilliseconds: Math.min(
      LONGEST_RETRY_MILLISECONDS,
      Math.max(SHORTEST_RETRY_MILLISECONDS, Math.ceil(wait)),
    ),
  };
}

/**
 * Gives the failure of a call whose attempts have all failed. Its outcome
 * counts every attempt, not the last alone.
 * @param service The service.
 * @param call The call.
 * @returns The failure.
 */
export function attemptsFailure(
  service: ServiceId,
  call: PendingCall,
): Failure {
  const last = call.lastFailure;
  if (last === undefined) return noServerFailure(service, call);
  const { outcome } = call;
  if (outcome !== "not_run") return { ...last, outcome };
  return {
    ...last,
    outcome,
    retryAfterMilliseconds: last.retryAfterMilliseconds ??
      NO_SERVER_RETRY_MILLISECONDS,
  };
}
