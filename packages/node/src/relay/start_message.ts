import { type ServerStart, serverStart } from "@foxtailwind/core";

/** Denotes an unknown start in messages between nodes. */
const UNKNOWN_START = 0;

/**
 * Encodes the start of a server for a peer.
 * @param start The start, if known.
 * @returns The start in Unix milliseconds; 0 if unknown.
 */
export function encodeStart(start: ServerStart | undefined): number {
  return start ?? UNKNOWN_START;
}

/**
 * Decodes the start of a server from a peer.
 * @param value The start in Unix milliseconds; 0 if unknown.
 * @returns The start, if known.
 */
export function decodeStart(value: number): ServerStart | undefined {
  return value === UNKNOWN_START ? undefined : serverStart(value);
}
