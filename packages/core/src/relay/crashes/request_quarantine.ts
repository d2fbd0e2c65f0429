import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type ServerStart,
} from "../../shared/mod.ts";
import { type CrashBlame, findCrashBlame } from "./crash_blame.ts";
import {
  type CrashSuspicion,
  isContradicted,
  suspectedRunKey,
  type SuspicionKey,
} from "./crash_suspicion.ts";
import { startKey } from "../registry/start_history.ts";
import { HeldSuspicions } from "./held_suspicions.ts";

/** How long content that crashes servers is refused. */
const CONTENT_QUARANTINE_TIME = milliseconds(24 * 60 * 60 * 1_000);
/** How long requests with a part that crashes servers are refused. */
const PART_QUARANTINE_TIME = milliseconds(60 * 60 * 1_000);
/** How long other suspicions are remembered. */
const SUSPICION_TIME = milliseconds(10 * 60 * 1_000);
/** The maximum number of crashes kept. */
const MAXIMUM_CRASHES = 500;
/** The maximum number of suspicions kept; those of old crashes go first. */
const MAXIMUM_SUSPICIONS = 10_000;
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

/** A run that has not ended its server. */
export interface SurvivedRun {
  readonly begunAt: Instant;
  readonly lasted: Duration;
}

/**
 * Identifies request contents and parts of prompts that crash the servers that
 * run them.
 *
 * Handles this load: requests that end each server that starts to run them come
 * every second or so, at any node and under other ids, while many others run on
 * the same servers. They repeat one content, or have one part of their prompts
 * in common. Each time all work in progress on the server is lost, and the
 * server is unavailable for some seconds.
 */
export class RequestQuarantine {
  readonly #crashes = new Map<string, Crash>();
  /** Suspicions that count only once their server is known to have ended. */
  readonly held = new HeldSuspicions();
  #suspicionCount = 0;
  #blame: CrashBlame | undefined;
  readonly #findBlame: typeof findCrashBlame;

  /** @param findBlame Decides what is to blame. */
  constructor(findBlame = findCrashBlame) {
    this.#findBlame = findBlame;
  }

  /** Whether there are no suspicions, not even held ones. */
  get isEmpty(): boolean {
    return !this.hasCrashes && this.held.isEmpty;
  }

  /** Whether any suspicions count. */
  get hasCrashes(): boolean {
    return this.#crashes.size > 0;
  }

  /**
   * Returns what is refused.
   * @param now The present time.
   * @returns The contents and parts.
   */
  quarantinedContents(now: Instant): ReadonlySet<ContentDigest> {
    const changesAt = this.#blame?.changesAt;
    if (changesAt !== undefined && now >= changesAt) this.#blame = undefined;
    this.#blame ??= this.#findBlame(now, [...this.#crashes.values()]);
    return this.#blame.contents;
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
    if (known === undefined) this.#suspicionCount += 1;
    crash.suspects.set(suspicion.content, suspicion);
    this.#crashes.set(run, crash);
    this.#dropOldest();
    this.#blame = undefined;
  }

  /**
   * Removes a suspicion.
   * @param key The suspicion's key.
   */
  dropSuspicion(key: SuspicionKey): void {
    const run = suspectedRunKey(key);
    const crash = this.#crashes.get(run);
    if (crash?.suspects.delete(key.content) !== true) return;
    this.#suspicionCount -= 1;
    if (crash.suspects.size === 0) this.#crashes.delete(run);
    this.#blame = undefined;
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
   * Records that a run has not ended its server so far. It speaks against the
   * suspicion that something of its request ended servers sooner.
   * @param run When its answer began, and how long its server has run since.
   * @param contents The digests of its content and of its parts.
   * @returns The suspicions removed as a result, those of earlier crashes.
   */
  recordSurvival(
    { begunAt, lasted }: SurvivedRun,
    contents: readonly ContentDigest[],
  ): readonly CrashSuspicion[] {
    const dropped = this.#suspicionsBefore(begunAt, contents)
      .filter(({ ranFor }) => isContradicted(ranFor, lasted));
    for (const one of dropped) this.dropSuspicion(one);
    return dropped;
  }

  /**
   * Determines whether a run that begins now would clear something if it ended
   * no server.
   * @param now The present time.
   * @param contents The digests of its content and of its parts.
   * @returns Whether an earlier crash is held against any of them.
   */
  hasSuspicions(now: Instant, contents: readonly ContentDigest[]): boolean {
    return this.#suspicionsBefore(now, contents).length > 0;
  }

  /**
   * Determines whether a run of a server is thought to have ended.
   * @param id The server.
   * @param start Its start, if known.
   * @returns Whether any request is suspected of having ended it, or may be.
   */
  hasCrashed(id: BackendServerId, start: ServerStart | undefined): boolean {
    return this.#crashes.has(startKey(id, start)) ||
      this.held.mayHaveEnded({ id, ...(start === undefined ? {} : { start }) });
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
    const quarantined = this.quarantinedContents(now);
    const dropped: CrashSuspicion[] = [];
    for (const { suspectedAt, suspects } of this.#crashes.values()) {
      const age = elapsed(suspectedAt, now);
      if (age < SUSPICION_TIME) continue;
      for (const one of suspects.values()) {
        const isQuarantined = quarantined.has(one.content);
        if (!isQuarantined || age >= quarantineTime(one)) dropped.push(one);
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
    if (!this.quarantinedContents(now).has(content)) return undefined;
    const remaining = [...this.#crashes.values()].flatMap(
      ({ suspects, suspectedAt }) => {
        const one = suspects.get(content);
        if (one === undefined) return [];
        return [quarantineTime(one) - elapsed(suspectedAt, now)];
      },
    );
    return milliseconds(Math.max(0, Math.min(...remaining)));
  }

  #suspicionsBefore(
    before: Instant,
    contents: readonly ContentDigest[],
  ): readonly CrashSuspicion[] {
    return [...this.#crashes.values()]
      .filter(({ suspectedAt }) => suspectedAt < before)
      .flatMap(({ suspects }) =>
        contents.flatMap((content) => suspects.get(content) ?? [])
      );
  }

  #dropOldest(): void {
    for (const [run, { suspects }] of this.#crashes) {
      const isFull = this.#crashes.size > MAXIMUM_CRASHES ||
        this.#suspicionCount > MAXIMUM_SUSPICIONS;
      if (!isFull || this.#crashes.size === 1) return;
      this.#crashes.delete(run);
      this.#suspicionCount -= suspects.size;
    }
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

function quarantineTime({ partPosition }: CrashSuspicion): Duration {
  return partPosition === undefined
    ? CONTENT_QUARANTINE_TIME
    : PART_QUARANTINE_TIME;
}
