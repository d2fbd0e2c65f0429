import { type Duration, milliseconds } from "@foxtailwind/core";

/** The unit in which nodes tell each other ages, in milliseconds. */
const AGE_UNIT_MILLISECONDS = 10;
/** Told of a node that is not known, or was last heard long ago. */
export const UNKNOWN_AGE = 0;

/**
 * Writes how long ago a node was heard, to be told to another one.
 * @param age The time.
 * @returns The time in the unit of ages, rounded up, and one more.
 */
export function encodeAge(age: Duration): number {
  return Math.ceil(age / AGE_UNIT_MILLISECONDS) + 1;
}

/**
 * Reads how long ago a node was heard.
 * @param encoded What another node told.
 * @returns The time, or nothing where it told of none.
 */
export function decodeAge(encoded: number | undefined): Duration | undefined {
  return encoded === undefined || encoded === UNKNOWN_AGE
    ? undefined
    : milliseconds((encoded - 1) * AGE_UNIT_MILLISECONDS);
}
