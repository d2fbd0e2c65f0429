import { type Duration, milliseconds } from "@foxtailwind/core";

/** The unit of the ages that nodes send each other. */
const AGE_UNIT_MILLISECONDS = 10;
/** Sent for a node that is unknown or was last heard long ago. */
export const UNKNOWN_AGE = 0;

/**
 * Encodes how long ago a node was heard.
 * @param age The age.
 * @returns The age in units, rounded up, plus one.
 */
export function encodeAge(age: Duration): number {
  return Math.ceil(age / AGE_UNIT_MILLISECONDS) + 1;
}

/**
 * Decodes how long ago a node was heard.
 * @param encoded The encoded age from another node.
 * @returns The age, or undefined if unknown.
 */
export function decodeAge(encoded: number | undefined): Duration | undefined {
  return encoded === undefined || encoded === UNKNOWN_AGE
    ? undefined
    : milliseconds((encoded - 1) * AGE_UNIT_MILLISECONDS);
}
