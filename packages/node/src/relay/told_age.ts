import { type Duration, milliseconds } from "@foxtailwind/core";

/** The unit in which nodes tell each other ages, in milliseconds. */
const UNIT = 10;
/** Told of a node that is not known, or was last heard long ago. */
export const NO_AGE = 0;

/**
 * Writes how long ago a node was heard, to be told to another one.
 * @param age The time.
 * @returns The time in the unit of ages, rounded up, and one more.
 */
export function toldAge(age: Duration): number {
  return Math.ceil(age / UNIT) + 1;
}

/**
 * Reads how long ago a node was heard.
 * @param told What another node told.
 * @returns The time, or nothing where it told of none.
 */
export function ageOf(told: number | undefined): Duration | undefined {
  return told === undefined || told === NO_AGE
    ? undefined
    : milliseconds((told - 1) * UNIT);
}
