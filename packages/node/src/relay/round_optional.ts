import type { Duration } from "@foxtailwind/core";

/**
 * Rounds a duration for a field of a log line.
 * @param duration The duration, if known.
 * @returns Whole milliseconds, or undefined, which omits the field.
 */
export function roundOptional(
  duration: Duration | undefined,
): number | undefined {
  return duration === undefined ? undefined : Math.round(duration);
}
