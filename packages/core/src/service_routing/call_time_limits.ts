import type { LatencyTarget } from "../configuration/mod.ts";
import { type Duration, milliseconds } from "../shared/mod.ts";

/** The time limits of a service's calls. */
export interface CallTimeLimits {
  /** Calls that cannot be answered within this time are refused early. */
  readonly targetLatency: Duration;
  /** The time after which a dispatched call is abandoned. */
  readonly timeout: Duration;
}

const DEFAULT_TARGET_MILLISECONDS = 2_000;
const TIMEOUT_FACTOR = 5;
const MINIMUM_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_TIMEOUT_MILLISECONDS = 120_000;

/**
 * Derives the time limits from a service's target. The answer to a late call is
 * still useful, so the timeout is a multiple of the target.
 * @param target The target, if one is configured.
 * @returns The time limits.
 */
export function callTimeLimits(
  target: LatencyTarget | undefined,
): CallTimeLimits {
  const targetLatency = target?.wholeAnswerMilliseconds ??
    target?.firstTokenMilliseconds ?? DEFAULT_TARGET_MILLISECONDS;
  const timeout = Math.max(
    targetLatency,
    Math.min(
      MAXIMUM_TIMEOUT_MILLISECONDS,
      Math.max(MINIMUM_TIMEOUT_MILLISECONDS, targetLatency * TIMEOUT_FACTOR),
    ),
  );
  return {
    targetLatency: milliseconds(targetLatency),
    timeout: milliseconds(timeout),
  };
}
