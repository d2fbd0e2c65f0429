import type { Duration, EngineId, Failure } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";
import type { Result } from "neverthrow";

/**
 * Tells whether the engine may still run a generation whose stream ended: a
 * stream that broke says nothing of the engine's side.
 * @param result How the stream ended.
 * @returns Whether the engine may still run it.
 */
export function mayStillRun(result: Result<GenerationEnd, Failure>): boolean {
  return result.isErr() && result.error.outcome === "unknown";
}

/**
 * Tells whether an engine refused a generation for want of its adapter.
 * @param result How the generation ended.
 * @returns Whether it did not run since the adapter is not there.
 */
export function isAdapterMissing(
  result: Result<GenerationEnd, Failure>,
): boolean {
  return result.isErr() && result.error.outcome === "not_run" &&
    result.error.reason === "not_found";
}

/**
 * Describes the end of an attempt that a later one replaced.
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
 * Describes the end of a request whose caller left before it ran.
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
 * Describes the refusal of a request that would miss its target.
 * @param engine The engine.
 * @param retryAfter When its caller may come back.
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
