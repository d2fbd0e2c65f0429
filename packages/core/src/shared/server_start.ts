import type { Brand } from "./brand.ts";

/**
 * When a backend server's process started, in whole Unix milliseconds of the
 * server's own clock. With the server's id it names one start: a server may
 * start again under its id, and then holds and knows nothing of before.
 * Clocks of servers differ and may step back, so that a newer start may carry
 * a smaller time.
 */
export type ServerStart = Brand<number, "ServerStart">;

/**
 * Brands a checked number as a ServerStart.
 * @param value Whole Unix milliseconds.
 * @returns The branded value.
 */
export function serverStart(value: number): ServerStart {
  return value as ServerStart;
}

/**
 * Tells whether two starts under one id differ. An unknown start can't be
 * told from the one that is known, and counts as it.
 * @param known The start that is known, if any.
 * @param told The start that was told, if any.
 * @returns Whether they are two starts.
 */
export function isOtherStart(
  known: ServerStart | undefined,
  told: ServerStart | undefined,
): boolean {
  return known !== undefined && told !== undefined && known !== told;
}

/**
 * Tells whether a start is older than one that another source names, by the
 * servers' clocks. Between records of one log their order decides instead.
 * @param told The start that was told, if any.
 * @param known The start that is known, if any.
 * @returns Whether the told one is older.
 */
export function isOlderStart(
  told: ServerStart | undefined,
  known: ServerStart | undefined,
): boolean {
  return known !== undefined && told !== undefined && told < known;
}
