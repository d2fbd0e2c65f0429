import type { Duration } from "@foxtailwind/core";

/** The largest values of the fields of messages, by their types. */
const MAXIMUM_UINT32 = 2 ** 32 - 1;
const MAXIMUM_SINT32 = 2 ** 31 - 1;
const MAXIMUM_COUNT = Number.MAX_SAFE_INTEGER;

/**
 * Encodes a duration for an unsigned field of 32 bits. Encoding fails for
 * numbers that don't fit their field, and durations may derive from what
 * callers, servers and operators state.
 * @param duration The duration.
 * @returns Whole milliseconds, from 0 to 49 days.
 */
export function encodeDuration(duration: Duration): number {
  return encodeWithin(duration, 0, MAXIMUM_UINT32);
}

/**
 * Encodes a duration that may be negative for a signed field of 32 bits.
 * @param duration The duration.
 * @returns Whole milliseconds, 24 days at most in each direction.
 */
export function encodeSignedDuration(duration: Duration): number {
  return encodeWithin(duration, -MAXIMUM_SINT32, MAXIMUM_SINT32);
}

/**
 * Encodes a count for an unsigned field of 64 bits.
 * @param count The count.
 * @returns A whole number that is exact.
 */
export function encodeCount(count: number): number {
  return encodeWithin(count, 0, MAXIMUM_COUNT);
}

function encodeWithin(value: number, least: number, most: number): number {
  if (Number.isNaN(value)) return 0;
  return Math.min(most, Math.max(least, Math.round(value)));
}
