import type {
  BackendServerId,
  LogOffset,
  ServerStart,
} from "../../shared/mod.ts";
import { RecentKeys } from "../recent_keys.ts";

/**
 * The maximum number of superseded starts remembered: several for each of some
 * hundred servers.
 */
const MAXIMUM_FORMER_STARTS = 2_000;

/** How an entry's start relates to the known start. */
export type StartOutcome =
  /** The entry is of the known start. */
  | "taken"
  /** The server has restarted. */
  | "restarted"
  /** The entry is of a start that the known one has superseded. */
  | "older_start";

interface LateEntry {
  readonly start: ServerStart;
  readonly offset: LogOffset;
}

/**
 * Orders the starts of servers by the log. Start times are not compared, since
 * a server's clock may step back: a start that was not known before is newer
 * than the one before it in the log. A start that was followed by another one
 * is over. One of its entries may still appear late in the log, but only a live
 * server goes on writing, so two entries in a row show that the other start was
 * the late one.
 */
export class StartHistory {
  readonly #latest = new Map<BackendServerId, ServerStart>();
  readonly #former = new RecentKeys(MAXIMUM_FORMER_STARTS);
  readonly #lateEntries = new Map<BackendServerId, LateEntry>();

  /**
   * Returns the newest start of a server, which is remembered after its end.
   * @param id The server.
   * @returns The start, or `undefined` if none is known.
   */
  latest(id: BackendServerId): ServerStart | undefined {
    return this.#latest.get(id);
  }

  /**
   * Records the start in an entry that follows all earlier recorded entries in
   * the log.
   * @param id The server.
   * @param start The start, if the entry has one.
   * @param offset The entry's offset in the log.
   * @returns How it relates to the known start.
   */
  recordEntry(
    id: BackendServerId,
    start: ServerStart | undefined,
    offset: LogOffset,
  ): StartOutcome {
    if (start === undefined) return "taken";
    const latest = this.#latest.get(id);
    if (latest !== undefined && latest !== start) {
      if (this.#isLate(id, start, offset)) return "older_start";
      this.#former.add(startKey(id, latest));
    }
    this.#latest.set(id, start);
    this.#lateEntries.delete(id);
    return latest === undefined || latest === start ? "taken" : "restarted";
  }

  /**
   * Records the start in an entry that precedes an already recorded entry in
   * the log.
   * @param id The server.
   * @param start The start, if the entry has one.
   */
  recordOlderEntry(id: BackendServerId, start: ServerStart | undefined): void {
    if (start === undefined || this.#latest.get(id) === start) return;
    this.#former.add(startKey(id, start));
  }

  #isLate(id: BackendServerId, start: ServerStart, offset: LogOffset): boolean {
    if (!this.#former.has(startKey(id, start))) return false;
    const previous = this.#lateEntries.get(id);
    if (previous?.start === start) return offset <= previous.offset;
    this.#lateEntries.set(id, { start, offset });
    return true;
  }
}

/**
 * Returns the key of one start of a server.
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
