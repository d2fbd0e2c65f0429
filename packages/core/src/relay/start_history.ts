import type { BackendServerId, LogOffset, ServerStart } from "../shared/mod.ts";
import { RecentKeys } from "./recent_keys.ts";

/**
 * Starts that were followed by another one and are remembered: several for
 * each of some hundred servers.
 */
const MOST_FORMER = 2_000;

/** What an entry says of the start that is known. */
export type StartNews =
  /** It is of the start that is known. */
  | "taken"
  /** The server has started again. */
  | "restarted"
  /** It is of a start that was followed by the known one. */
  | "older_start";

interface Doubt {
  readonly start: ServerStart;
  readonly offset: LogOffset;
}

/**
 * The starts of servers in the order of the log. Their times decide nothing,
 * since a server's clock may step back: a start that was not known before is
 * newer than the one before it in the log. A start that was followed by
 * another one is over; what it wrote may stand in the log behind that once,
 * but only a server that lives goes on writing, so that two entries in a row
 * show that the other one was the late one.
 */
export class StartHistory {
  readonly #latest = new Map<BackendServerId, ServerStart>();
  readonly #former = new RecentKeys(MOST_FORMER);
  readonly #doubts = new Map<BackendServerId, Doubt>();

  /**
   * Gives the newest start of a server, which is remembered past its end.
   * @param id The server.
   * @returns The start, or nothing where none was told.
   */
  latest(id: BackendServerId): ServerStart | undefined {
    return this.#latest.get(id);
  }

  /**
   * Takes the start that an entry tells, which stands in the log behind all
   * that were taken before.
   * @param id The server.
   * @param start The start, if the entry tells one.
   * @param offset The entry's place in the log.
   * @returns What it says of the start that is known.
   */
  take(
    id: BackendServerId,
    start: ServerStart | undefined,
    offset: LogOffset,
  ): StartNews {
    if (start === undefined) return "taken";
    const latest = this.#latest.get(id);
    if (latest !== undefined && latest !== start) {
      if (this.#isLate(id, start, offset)) return "older_start";
      this.#former.add(startKey(id, latest));
    }
    this.#latest.set(id, start);
    this.#doubts.delete(id);
    return latest === undefined || latest === start ? "taken" : "restarted";
  }

  /**
   * Takes note of a start that an entry tells which stands in the log before
   * one that was taken.
   * @param id The server.
   * @param start The start, if the entry tells one.
   */
  passed(id: BackendServerId, start: ServerStart | undefined): void {
    if (start === undefined || this.#latest.get(id) === start) return;
    this.#former.add(startKey(id, start));
  }

  #isLate(id: BackendServerId, start: ServerStart, offset: LogOffset): boolean {
    if (!this.#former.has(startKey(id, start))) return false;
    const doubt = this.#doubts.get(id);
    if (doubt?.start === start) return offset <= doubt.offset;
    this.#doubts.set(id, { start, offset });
    return true;
  }
}

/**
 * Gives the key of one start of a server.
 * @param id The server.
 * @param start Its start, if known.
 * @returns The key.
 */
export function startKey(
  id: BackendServerId,
  start: ServerStart | undefined,
): string {
  return `${id}@${start ?? ""}`;
}
