import type { Duration, EngineId, Failure } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";
import type { Result } from "neverthrow";

/**
 * Checks whether the engine may still run a generation whose stream ended. A
 * broken stream does not tell whether the engine has stopped.
 * @param result How the stream ended.
 * @returns Whether the engine may still run it.
 */
export function mayStillRun(result: Result<GenerationEnd, Failure>): boolean {
  return result.isErr() && result.error.outcome === "unknown";
}

/**
 * Checks whether an engine refused a generation because its adapter is missing.
 * @param result How the generation ended.
 * @returns Whether it did not run because of the missing adapter.
 */
export function isAdapterMissing(
  result: Result<GenerationEnd, Failure>,
): boolean {
  return result.isErr() && result.error.outcome === "not_run" &&
    result.error.reason === "not_found";
}

/**
 * Creates the failure of an attempt that was replaced by a later one.
 * @param engine The engine.
 * @returns The failure.
 */
export function supersededFailure(engine: EngineId): Failure {
  return {
    reason: "cancelled",
    step: "dispatch",
    peer: engine,
    message: "A later attempt at the request took its place.",
    outcome: "unknown",
  };
}

/**
 * Creates the failure of a request whose caller disconnected before it ran.
 * @param engine The engine.
 * @returns The failure.
 */
export function callerLeftFailure(engine: EngineId): Failure {
  return {
    reason: "cancelled",
    step: "dispatch",
    peer: engine,
    message: "The caller left.",
    outcome: "not_run",
  };
}

/**
 * Creates the failure of a request that would miss its target.
 * @param engine The engine.
 * @param retryAfter When the caller may retry.
 * @returns The failure.
 */
export function targetMissedFailure(
  engine: EngineId,
  retryAfter: Duration,
): Failure {
  return {
    reason: "overloaded",
    step: "dispatch",
    peer: engine,
    message: "The target cannot be met.",
    outcome: "not_run",
    retryAfterMilliseconds: retryAfter,
  };
}
