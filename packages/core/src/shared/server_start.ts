import type { Brand } from "./brand.ts";

/**
 * When a backend server's process started, in whole Unix milliseconds of the
 * server's own clock. Together with the server's id it identifies one run: a
 * server may restart under the same id and then has lost all earlier state.
 * Server clocks differ and may step back, so that a newer start may have a
 * smaller time.
 */
export type ServerStart = Brand<number, "ServerStart">;

/**
 * Brands a validated number as a ServerStart.
 * @param value Whole Unix milliseconds.
 * @returns The branded value.
 */
export function serverStart(value: number): ServerStart {
  return value as ServerStart;
}

/**
 * Checks whether two starts of one server id differ. An unknown start cannot
 * be distinguished from a known one and counts as equal to it.
 * @param known The known start, if any.
 * @param reported The reported start, if any.
 * @returns Whether both are known and differ.
 */
export function isDifferentStart(
  known: ServerStart | undefined,
  reported: ServerStart | undefined,
): boolean {
  return known !== undefined && reported !== undefined && known !== reported;
}

/**
 * Checks by the server's clock whether a start is older than the one that
 * another source reports. Between records of one log, compare their order
 * instead.
 * @param reported The reported start, if any.
 * @param known The known start, if any.
 * @returns Whether the reported start is older.
 */
export function isOlderStart(
  reported: ServerStart | undefined,
  known: ServerStart | undefined,
): boolean {
  return known !== undefined && reported !== undefined && reported < known;
}
