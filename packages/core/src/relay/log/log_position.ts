import { type LogOffset, logOffset } from "../../shared/mod.ts";

/**
 * The number of offsets of an era. Positions up to era 32,767 are exact as
 * numbers.
 */
const OFFSETS_PER_ERA = 2 ** 38;

/**
 * Counts how often the log has come back from an older copy. The copy lacks the
 * newest records, and their offsets are given out again.
 */
export type LogEra = number;

/**
 * Returns the position of a record among those of all eras. Unlike offsets,
 * positions of later records are never lower.
 * @param era The era in which the offset was read.
 * @param offset The record's offset.
 * @returns The position.
 */
export function logPosition(era: LogEra, offset: number): LogOffset {
  return logOffset(era * OFFSETS_PER_ERA + offset);
}

/**
 * Returns the era of a position.
 * @param position The position.
 * @returns The era.
 */
export function eraOf(position: LogOffset): LogEra {
  return Math.floor(position / OFFSETS_PER_ERA);
}
