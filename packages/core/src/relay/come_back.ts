import { type Duration, milliseconds } from "../shared/mod.ts";

/** The least time after which a refused caller is asked to come back. */
const LEAST_TIME = 300;
/**
 * Callers that are refused together come back over so wide a part of the time
 * that a place takes, so that they don't meet again.
 */
const SPREAD = 0.5;

/**
 * Tells when a caller that found no place should come back: when a place is
 * likely, spread around that time for callers that are refused together.
 * @param expected How long a place takes, by what is known of the engines.
 * @param draw A number from 0 up to, and without, 1.
 * @returns The time after which to come back.
 */
export function comeBackAfter(expected: Duration, draw: number): Duration {
  const factor = 1 + SPREAD * (draw - 0.5);
  return milliseconds(Math.max(LEAST_TIME, expected) * factor);
}
