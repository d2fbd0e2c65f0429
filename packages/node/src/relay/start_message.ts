import { type ServerStart, serverStart } from "@foxtailwind/core";

/** Stands for an unknown start in messages between nodes. */
const UNKNOWN_START = 0;

/**
 * Writes a start for a peer.
 * @param start The start, if known.
 * @returns Unix milliseconds; 0 where unknown.
 */
export function writeStart(start: ServerStart | undefined): number {
  return start ?? UNKNOWN_START;
}

/**
 * Reads a start that a peer wrote.
 * @param value Unix milliseconds; 0 where unknown.
 * @returns The start, if known.
 */
export function readStart(value: number): ServerStart | undefined {
  return value === UNKNOWN_START ? undefined : serverStart(value);
}
