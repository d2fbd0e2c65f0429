import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import {
  type CrashSuspicion,
  findCrashingContents,
  suspectedRunKey,
  type SuspicionKey,
} from "./crash_suspicion.ts";
import { startKey } from "../start_history.ts";

/** How long content that crashes servers is refused. */
const QUARANTINE_TIME = milliseconds(24 * 60 * 60 * 1_000);
/** How long other suspicions are remembered. */
const SUSPICION_TIME = milliseconds(10 * 60 * 1_000);
/** The maximum number of crashes kept. */
const MAXIMUM_CRASHES = 500;
/**
 * A run presumed ended counts as alive if it writes to the registry twice at
 * least this far apart. Anything that it wrote before an end is read sooner
 * than that.
 */
const MINIMUM_ALIVE_TIME = milliseconds(2_500);

interface Crash {
  readonly suspectedAt: Instant;
  readonly suspects: Map<ContentDigest, CrashSuspicion>;
  /** When the server was first seen to write to the registry afterwards. */
  firstWriteAt?: Instant;
}

/**
 * Identifies request contents that crash the servers that run them.
 *
 * Handles this load: a request that ends each server that starts to run it is
 * repeated every second or so, at any node and under another id, while many
 * others run on the same servers. Each time all work in progress on the server
 * is lost, and the server is unavailable for some seconds.
 */
export class RequestQuarantine {
  readonly #crashes = new Map<string, Crash>();
  #quarantined: ReadonlySet<ContentDigest> | undefined = new Set();

  /** Whether there are no suspicions. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** The contents that are refused. */
  get quarantinedContents(): ReadonlySet<ContentDigest> {
    this.#quarantined ??= findCrashingContents(
      [...this.#crashes.values()].map(({ suspects }) =>
        new Map([...suspects].map(([content, one]) => [content, one.ranFor]))
      ),
    );
    return this.#quarantined;
  }

  /**
   * Adds a suspicion.
   * @param now The present time.
   * @param suspicion The suspicion.
   */
  addSuspicion(now: Instant, suspicion: CrashSuspicion): void {
    const run = suspectedRunKey(suspicion);
    const crash = this.#crashes.get(run) ??
      { suspectedAt: now, suspects: new Map<ContentDigest, CrashSuspicion>() };
    const known = crash.suspects.get(suspicion.content);
    if (known !== undefined && known.ranFor <= suspicion.ranFor) return;
    crash.suspects.set(suspicion.content, suspicion);
    this.#crashes.set(run, crash);
    for (const oldest of this.#crashes.keys()) {
      if (this.#crashes.size <= MAXIMUM_CRASHES) break;
      this.#crashes.delete(oldest);
    }
    this.#quarantined = undefined;
  }

  /**
   * Removes a suspicion.
   * @param key The suspicion's key.
   */
  dropSuspicion(key: SuspicionKey): void {
    const run = suspectedRunKey(key);
    const crash = this.#crashes.get(run);
    if (crash?.suspects.delete(key.content) !== true) return;
    if (crash.suspects.size === 0) this.#crashes.delete(run);
    this.#quarantined = undefined;
  }

  /**
   * Removes all suspicions except the given ones.
   * @param kept The suspicions to keep.
   */
  retainOnly(kept: readonly SuspicionKey[]): void {
    const contents = new Map<string, Set<ContentDigest>>();
    for (const key of kept) {
      const run = suspectedRunKey(key);
      const known = contents.get(run) ?? new Set<ContentDigest>();
      contents.set(run, known.add(key.content));
    }
    this.#dropWhere((one) =>
      contents.get(suspectedRunKey(one))?.has(one.content) !== true
    );
  }

  /**
   * Records that a request ran to completion: its content doesn't crash
   * servers.
   * @param content The content.
   * @returns The suspicions removed as a result.
   */
  recordServed(content: ContentDigest): readonly CrashSuspicion[] {
    return this.#dropWhere((one) => one.content === content);
  }

  /**
   * Records that a run of a server has written to its registry.
   * @param now The present time.
   * @param id The server.
   * @param start Its start, if known.
   * @returns The suspicions removed because the server is alive.
   */
  recordServerWrite(
    now: Instant,
    id: BackendServerId,
    start: ServerStart | undefined,
  ): readonly CrashSuspicion[] {
    const run = startKey(id, start);
    const crash = this.#crashes.get(run);
    if (crash === undefined) return [];
    crash.firstWriteAt ??= now;
    if (elapsed(crash.firstWriteAt, now) < MINIMUM_ALIVE_TIME) return [];
    return this.#dropWhere((one) => suspectedRunKey(one) === run);
  }

  /**
   * Removes expired suspicions.
   * @param now The present time.
   * @returns The removed suspicions.
   */
  expire(now: Instant): readonly CrashSuspicion[] {
    const quarantined = this.quarantinedContents;
    const dropped: CrashSuspicion[] = [];
    for (const { suspectedAt, suspects } of this.#crashes.values()) {
      const age = elapsed(suspectedAt, now);
      if (age < SUSPICION_TIME) continue;
      for (const one of suspects.values()) {
        const isQuarantined = quarantined.has(one.content);
        if (!isQuarantined || age >= QUARANTINE_TIME) dropped.push(one);
      }
    }
    for (const one of dropped) this.dropSuspicion(one);
    return dropped;
  }

  /**
   * Returns how long content is still refused.
   * @param now The present time.
   * @param content The content.
   * @returns The remaining time, or `undefined` if it isn't refused.
   */
  remainingTime(now: Instant, content: ContentDigest): Duration | undefined {
    if (!this.quarantinedContents.has(content)) return undefined;
    const ages = [...this.#crashes.values()]
      .filter(({ suspects }) => suspects.has(content))
      .map(({ suspectedAt }) => elapsed(suspectedAt, now));
    return milliseconds(Math.max(0, QUARANTINE_TIME - Math.max(...ages)));
  }

  #dropWhere(
    isDropped: (suspicion: CrashSuspicion) => boolean,
  ): readonly CrashSuspicion[] {
    const dropped = [...this.#crashes.values()]
      .flatMap(({ suspects }) => [...suspects.values()].filter(isDropped));
    for (const one of dropped) this.dropSuspicion(one);
    return dropped;
  }
}
