import {
  type BackendServerId,
  elapsed,
  type Instant,
  isDifferentStart,
  type LogOffset,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import { eraOf, type LogEra } from "../log/log_position.ts";
import { RecentKeys } from "../recent_keys.ts";
import {
  isRoutingEquivalent,
  type RegisteredServer,
  type RegistryEntry,
  type ServerRun,
} from "./registered_server.ts";
import { StartHistory, startKey, type StartOutcome } from "./start_history.ts";

/** The outcome of applying an entry. */
export type EntryOutcome =
  | StartOutcome
  /** A newer entry is known. */
  | "older";

/** The servers that have changed. */
export interface RegistryChanges {
  readonly entries: readonly RegistryEntry[];
  /** The change count up to which they are complete. */
  readonly count: number;
}

/** A change of a server, and when it was recorded. */
interface RecordedChange {
  readonly count: number;
  readonly at: Instant;
}

interface KnownServer {
  readonly offset: LogOffset;
  readonly server: RegisteredServer;
  /** When its entry vanished, while the server may still be alive. */
  readonly lapsedAt?: Instant;
}

/**
 * How long after the last failed store call servers with vanished entries are
 * kept: lapsed entries are back about 2 s after the store. Must stay below the
 * 3 s of contact with the store from which a node's bounds hold, according to
 * the users' specifications.
 */
const LAPSE_RETENTION = milliseconds(2_500);
/**
 * The share of servers that must vanish together to count as a store
 * disturbance.
 */
const MASS_LAPSE_SHARE = 0.4;
/** The window within which servers count as vanishing together. */
const MASS_LAPSE_WINDOW = milliseconds(1_500);
/**
 * The minimum time for which servers that vanish together, or after failed
 * calls, are kept. Together with the interval between two reads of the registry
 * it stays below the 2 s that the users' specifications allow for following a
 * departure.
 */
const MINIMUM_LAPSE_RETENTION = milliseconds(1_000);

/**
 * The maximum number of leaving servers remembered: a day's, at one in 20 s.
 */
const MAXIMUM_LEAVING_STARTS = 5_000;

/**
 * The maximum number of removed servers remembered: a day's, at one in 20 s.
 */
const MAXIMUM_GONE_SERVERS = 5_000;

/** The backend servers that are present according to the registry's log. */
export class ServerRegistry {
  readonly #known = new Map<BackendServerId, KnownServer>();
  readonly #gone = new Map<BackendServerId, LogOffset>();
  /**
   * The position at which a later era of the log first lists a removed server.
   * An older copy of the log lists servers that have left since.
   */
  readonly #relistedAt = new Map<BackendServerId, LogOffset>();
  #era: LogEra | undefined;
  readonly #starts = new StartHistory();
  /**
   * Starts of servers that have announced that they leave. Older entries of
   * such a start may follow in the log; a start that has announced its
   * departure never returns to service.
   */
  readonly #leavingStarts = new RecentKeys(MAXIMUM_LEAVING_STARTS);
  #storeFailedAt: Instant | undefined;
  #callTimedOutAt: Instant | undefined;
  #recentRemovals: Instant[] = [];
  #revision = 0;
  /** The last change of each server, oldest first. */
  readonly #changes = new Map<BackendServerId, RecordedChange>();
  #changeCount = 0;

  /** Increases with each change of {@link all}. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * The number of changes, in this run, of which requests servers may receive:
   * a server was added, removed, is leaving or has restarted. Changes of what
   * engines hold are excluded, since their owners report them sooner than the
   * log.
   */
  get changeCount(): number {
    return this.#changeCount;
  }

  /**
   * Lists the servers that have changed, for a node that has the earlier
   * changes.
   * @param count The change count up to which it has them.
   * @param limit The maximum number of entries; the oldest changes go first.
   * @returns The newest entry of each changed server.
   */
  changesSince(count: number, limit = Infinity): RegistryChanges {
    const ids: BackendServerId[] = [];
    if (count < this.#changeCount) {
      for (const [id, change] of this.#changes) {
        if (change.count <= count) continue;
        if (ids.length >= limit) {
          return { entries: this.entriesOf(ids), count: change.count - 1 };
        }
        ids.push(id);
      }
    }
    return { entries: this.entriesOf(ids), count: this.#changeCount };
  }

  /**
   * Returns the change count before the first change that was recorded at a time
   * or later.
   * @param at The time.
   * @returns The count.
   */
  changeCountBefore(at: Instant): number {
    for (const change of this.#changes.values()) {
      if (change.at >= at) return change.count - 1;
    }
    return this.#changeCount;
  }

  /**
   * Lists the newest entries of some servers.
   * @param ids The servers.
   * @returns The entries of those that are known.
   */
  entriesOf(ids: Iterable<BackendServerId>): readonly RegistryEntry[] {
    return [...ids].flatMap((id): readonly RegistryEntry[] => {
      const known = this.#known.get(id);
      if (known !== undefined) {
        const { offset, server } = known;
        return [{ kind: "present", offset, server }];
      }
      const offset = this.#gone.get(id);
      return offset === undefined ? [] : [{ kind: "gone", offset, id }];
    });
  }

  /** The servers that are present. */
  get all(): readonly RegisteredServer[] {
    return [...this.#known.values()].map((known) => known.server);
  }

  /**
   * Finds a server.
   * @param id The server's id.
   * @returns The server, or `undefined` if it isn't present.
   */
  find(id: BackendServerId): RegisteredServer | undefined {
    return this.#known.get(id)?.server;
  }

  /**
   * Returns the log offset of a server's newest entry.
   * @param id The server's id.
   * @returns The offset, or `undefined` if the server isn't present.
   */
  newestOffset(id: BackendServerId): LogOffset | undefined {
    return this.#known.get(id)?.offset;
  }

  /**
   * Checks whether a peer's entry may say more than this registry: it is newer,
   * or it is as old and the peer knows that the server leaves.
   * @param entry The entry.
   * @returns Whether it may change this registry.
   */
  isNews(entry: RegistryEntry): boolean {
    if (entry.kind === "gone") return true;
    const known = this.#known.get(entry.server.id);
    if (known === undefined || entry.offset > known.offset) return true;
    return entry.server.leaving && !known.server.leaving;
  }

  /**
   * Records that store calls failed, so that entries may lapse while their
   * servers are alive.
   * @param now The present time.
   */
  recordStoreFailure(now: Instant): void {
    this.#storeFailedAt = now;
  }

  /**
   * Records that a store call got no response on a connection that had worked
   * before. The connection is dead, or the store is: a call on another one tells.
   * @param now The present time.
   */
  recordCallTimeout(now: Instant): void {
    this.#callTimedOutAt = now;
  }

  /**
   * Applies an entry, unless a newer one of the same server is known. The
   * removal of a server applies to its id, whatever its start.
   * @param now The present time.
   * @param entry The entry.
   * @returns The outcome.
   */
  apply(now: Instant, entry: RegistryEntry): EntryOutcome {
    if (entry.kind === "gone") {
      this.#applyGone(now, entry);
      return "taken";
    }
    const { server, offset } = entry;
    const { id } = server;
    const newest = this.#known.get(id)?.offset ?? this.#gone.get(id) ?? -1;
    if (offset < newest || this.#isOfOlderCopy(id, offset)) {
      this.#starts.recordOlderEntry(id, server.start);
      if (server.leaving) this.#markLeaving(now, server);
      return "older";
    }
    const outcome = this.#starts.recordEntry(id, server.start, offset);
    if (outcome !== "older_start") this.#setServer(now, server, offset);
    return outcome;
  }

  /**
   * Applies a complete listing: servers missing from it are removed.
   * @param now The present time.
   * @param entries The listed servers.
   * @param end The offset up to which the listing is complete.
   * @returns The outcome of each entry.
   */
  replace(
    now: Instant,
    entries: readonly RegistryEntry[],
    end: LogOffset,
  ): readonly EntryOutcome[] {
    this.#enterEra(now, eraOf(end));
    const listed = new Set<BackendServerId>();
    const outcomes = entries.map((entry) => {
      if (entry.kind === "present") listed.add(entry.server.id);
      return this.apply(now, entry);
    });
    for (const [id, known] of this.#known) {
      if (listed.has(id) || known.offset >= end) continue;
      this.#applyGone(now, { kind: "gone", offset: end, id });
    }
    return outcomes;
  }

  /**
   * Records that a start of a server announced its departure to this node
   * itself. The registry's log may say so later, or not at all.
   * @param now The present time.
   * @param server The start that announced it.
   * @returns Whether it was not known to leave.
   */
  recordDeparture(now: Instant, server: ServerRun): boolean {
    if (this.#isLeavingStart(server)) return false;
    this.#markLeaving(now, server);
    return true;
  }

  /**
   * Checks whether a start of a server may receive requests.
   * @param server The start.
   * @returns Whether the server is present and the start doesn't leave.
   */
  takesRequests(server: ServerRun): boolean {
    const known = this.find(server.id);
    if (known === undefined || known.leaving) return false;
    // Requests ask this of all servers; a known entry needs no lookup by key.
    const isKnownStart = known === server && server.start !== undefined;
    return isKnownStart || !this.#isLeavingStart(server);
  }

  /**
   * Removes a server because another id answered at its address, which now
   * belongs to another server. Peers aren't told: each finds out by itself.
   * @param id The removed server.
   * @param start The start that the request was sent to, if known; a later
   * start is kept.
   */
  removeReplaced(id: BackendServerId, start?: ServerStart): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    if (isDifferentStart(known.server.start, start)) return;
    this.#removeServer(id, known.offset);
  }

  /**
   * Removes servers whose entries have not come back.
   * @param now The present time.
   */
  expire(now: Instant): void {
    if (this.#hasRecentStoreFailure(now)) return;
    for (const [id, { lapsedAt, offset }] of this.#known) {
      if (lapsedAt === undefined) continue;
      if (elapsed(lapsedAt, now) >= MINIMUM_LAPSE_RETENTION) {
        this.#removeAndTell(now, id, offset);
      }
    }
  }

  /**
   * Begins an era of the log. Servers that are missing from the older copy may
   * be alive, and write their entries again soon.
   */
  #enterEra(now: Instant, era: LogEra): void {
    if (this.#era !== undefined && era > this.#era) this.#storeFailedAt = now;
    this.#era = Math.max(era, this.#era ?? era);
  }

  /**
   * Checks whether an entry of a removed server may be that of an older copy of
   * the log: the server writes on if it is alive.
   */
  #isOfOlderCopy(id: BackendServerId, offset: LogOffset): boolean {
    const removedAt = this.#gone.get(id);
    if (removedAt === undefined || eraOf(removedAt) >= eraOf(offset)) {
      return false;
    }
    const first = this.#relistedAt.get(id);
    if (first !== undefined && eraOf(first) === eraOf(offset)) {
      return offset <= first;
    }
    this.#relistedAt.set(id, offset);
    return true;
  }

  #setServer(
    now: Instant,
    update: RegisteredServer,
    offset: LogOffset,
  ): void {
    const { id } = update;
    const start = this.#starts.latest(id);
    const key = startKey(id, start);
    if (update.leaving) this.#leavingStarts.add(key);
    const server = {
      ...update,
      ...(start === undefined ? {} : { start }),
      leaving: this.#leavingStarts.has(key),
    };
    const previous = this.#known.get(id)?.server;
    if (previous === undefined || !isRoutingEquivalent(previous, server)) {
      this.#recordChange(now, id);
    }
    this.#gone.delete(id);
    this.#relistedAt.delete(id);
    this.#known.set(id, { offset, server });
    this.#revision += 1;
  }

  /**
   * Marks a start as leaving, whatever else is known: a peer's report that its
   * server is gone may arrive first and be doubted.
   */
  #markLeaving(now: Instant, server: ServerRun): void {
    const { id } = server;
    const key = this.#keyOf(server);
    this.#leavingStarts.add(key);
    const known = this.#known.get(id);
    if (known === undefined || known.server.leaving) return;
    if (startKey(id, known.server.start) !== key) return;
    this.#known.set(id, {
      ...known,
      server: { ...known.server, leaving: true },
    });
    this.#recordChange(now, id);
    this.#revision += 1;
  }

  #isLeavingStart(server: ServerRun): boolean {
    return this.#leavingStarts.has(this.#keyOf(server));
  }

  #keyOf({ id, start }: ServerRun): string {
    return startKey(id, start ?? this.#starts.latest(id));
  }

  #applyGone(
    now: Instant,
    { id, offset, isCertain }: Extract<RegistryEntry, { kind: "gone" }>,
  ): void {
    const known = this.#known.get(id);
    if (known !== undefined && known.offset > offset) return;
    if (known === undefined || known.server.leaving || isCertain === true) {
      this.#removeAndTell(now, id, offset);
      return;
    }
    this.#recentRemovals = this.#recentRemovals.filter((at) =>
      elapsed(at, now) < MASS_LAPSE_WINDOW
    );
    if (known.lapsedAt === undefined) this.#recentRemovals.push(now);
    const isMassLapse = this.#recentRemovals.length >=
      Math.max(2, this.#known.size * MASS_LAPSE_SHARE);
    const isInDoubt = isMassLapse || this.#hasRecentStoreFailure(now) ||
      isRecent(this.#callTimedOutAt, now);
    if (isInDoubt) {
      this.#known.set(id, { ...known, offset, lapsedAt: now });
      return;
    }
    this.#removeAndTell(now, id, offset);
  }

  /** Removes a server, and counts it as a change for peers. */
  #removeAndTell(now: Instant, id: BackendServerId, offset: LogOffset): void {
    if (this.#removeServer(id, offset)) this.#recordChange(now, id);
  }

  /** Removes a server, and returns whether that was not known. */
  #removeServer(id: BackendServerId, offset: LogOffset): boolean {
    const wasKnown = this.#known.delete(id);
    const removedAt = this.#gone.get(id);
    if (wasKnown) this.#revision += 1;
    // Otherwise nodes would send one another the same removal forever.
    else if (removedAt !== undefined && removedAt >= offset) return false;
    this.#gone.delete(id);
    this.#gone.set(id, offset);
    for (const oldest of this.#gone.keys()) {
      if (this.#gone.size <= MAXIMUM_GONE_SERVERS) break;
      this.#gone.delete(oldest);
      this.#relistedAt.delete(oldest);
      this.#changes.delete(oldest);
    }
    return true;
  }

  #recordChange(now: Instant, id: BackendServerId): void {
    this.#changeCount += 1;
    this.#changes.delete(id);
    this.#changes.set(id, { count: this.#changeCount, at: now });
  }

  #hasRecentStoreFailure(now: Instant): boolean {
    return isRecent(this.#storeFailedAt, now);
  }
}

/** Whether entries may still be missing because of a failed store call. */
function isRecent(failedAt: Instant | undefined, now: Instant): boolean {
  return failedAt !== undefined && elapsed(failedAt, now) < LAPSE_RETENTION;
}
