import {
  type BackendServerId,
  type ContentDigest,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type ServerStart,
} from "../shared/mod.ts";
import {
  contentsToBlame,
  type CrashSuspicion,
  suspectedRun,
  type SuspicionKey,
} from "./crash_suspicion.ts";
import { startKey } from "./start_history.ts";

/** How long a content that crashes servers is refused. */
const QUARANTINE_TIME = milliseconds(24 * 60 * 60 * 1_000);
/** How long other suspicions are remembered. */
const SUSPICION_TIME = milliseconds(10 * 60 * 1_000);
/** Crashes that are remembered at most. */
const MOST_CRASHES = 500;
/**
 * A run that was taken for ended lives where it writes to its registry twice,
 * at least so far apart. What it wrote before an end is read sooner than that.
 */
const LIFE_TIME = milliseconds(2_500);

interface Crash {
  readonly notedAt: Instant;
  readonly suspects: Map<ContentDigest, CrashSuspicion>;
  /** When the server was first seen to write after that. */
  seenAt?: Instant;
}

/**
 * The contents of requests that crash the servers that run them.
 *
 * Answers this load: a request that ends each server that begins to run it
 * comes again every second or so, at any node and under another id, while many
 * others run on the same servers. Each time the server's whole work is lost,
 * and the server for some seconds.
 */
export class RequestQuarantine {
  readonly #crashes = new Map<string, Crash>();
  #blamed: ReadonlySet<ContentDigest> | undefined = new Set();

  /** Whether nothing is suspected. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** The contents that are refused. */
  get contents(): ReadonlySet<ContentDigest> {
    this.#blamed ??= contentsToBlame(
      [...this.#crashes.values()].map(({ suspects }) =>
        new Map([...suspects].map(([content, one]) => [content, one.ranFor]))
      ),
    );
    return this.#blamed;
  }

  /**
   * Takes a suspicion.
   * @param now The present time.
   * @param suspicion The suspicion.
   */
  suspect(now: Instant, suspicion: CrashSuspicion): void {
    const run = suspectedRun(suspicion);
    const crash = this.#crashes.get(run) ??
      { notedAt: now, suspects: new Map<ContentDigest, CrashSuspicion>() };
    const known = crash.suspects.get(suspicion.content);
    if (known !== undefined && known.ranFor <= suspicion.ranFor) return;
    crash.suspects.set(suspicion.content, suspicion);
    this.#crashes.set(run, crash);
    for (const oldest of this.#crashes.keys()) {
      if (this.#crashes.size <= MOST_CRASHES) break;
      this.#crashes.delete(oldest);
    }
    this.#blamed = undefined;
  }

  /**
   * Drops a suspicion.
   * @param key Which one.
   */
  drop(key: SuspicionKey): void {
    const run = suspectedRun(key);
    const crash = this.#crashes.get(run);
    if (crash?.suspects.delete(key.content) !== true) return;
    if (crash.suspects.size === 0) this.#crashes.delete(run);
    this.#blamed = undefined;
  }

  /**
   * Drops all suspicions but some.
   * @param kept The suspicions that stay.
   */
  retain(kept: readonly SuspicionKey[]): void {
    const contents = new Map<string, Set<ContentDigest>>();
    for (const key of kept) {
      const run = suspectedRun(key);
      const known = contents.get(run) ?? new Set<ContentDigest>();
      contents.set(run, known.add(key.content));
    }
    this.#dropWhere((one) =>
      contents.get(suspectedRun(one))?.has(one.content) !== true
    );
  }

  /**
   * Takes note that a request was served to its end: its content crashes no
   * servers.
   * @param content The content.
   * @returns The suspicions that are dropped by that.
   */
  served(content: ContentDigest): readonly CrashSuspicion[] {
    return this.#dropWhere((one) => one.content === content);
  }

  /**
   * Takes note that a run of a server has written to its registry.
   * @param now The present time.
   * @param id The server.
   * @param start Its start, if known.
   * @returns The suspicions that are dropped by that, as the server lives.
   */
  serverWrote(
    now: Instant,
    id: BackendServerId,
    start: ServerStart | undefined,
  ): readonly CrashSuspicion[] {
    const run = startKey(id, start);
    const crash = this.#crashes.get(run);
    if (crash === undefined) return [];
    crash.seenAt ??= now;
    if (elapsed(crash.seenAt, now) < LIFE_TIME) return [];
    return this.#dropWhere((one) => suspectedRun(one) === run);
  }

  /**
   * Drops what is too old.
   * @param now The present time.
   * @returns The suspicions that are dropped.
   */
  expire(now: Instant): readonly CrashSuspicion[] {
    const blamed = this.contents;
    const dropped: CrashSuspicion[] = [];
    for (const { notedAt, suspects } of this.#crashes.values()) {
      const age = elapsed(notedAt, now);
      if (age < SUSPICION_TIME) continue;
      for (const one of suspects.values()) {
        const isBlamed = blamed.has(one.content);
        if (!isBlamed || age >= QUARANTINE_TIME) dropped.push(one);
      }
    }
    for (const one of dropped) this.drop(one);
    return dropped;
  }

  /**
   * Tells whether a content is refused, and until when.
   * @param now The present time.
   * @param content The content.
   * @returns The time until it may be tried again, or nothing where it may now.
   */
  refusedFor(now: Instant, content: ContentDigest): Duration | undefined {
    if (!this.contents.has(content)) return undefined;
    const ages = [...this.#crashes.values()]
      .filter(({ suspects }) => suspects.has(content))
      .map(({ notedAt }) => elapsed(notedAt, now));
    return milliseconds(Math.max(0, QUARANTINE_TIME - Math.max(...ages)));
  }

  #dropWhere(
    isDropped: (suspicion: CrashSuspicion) => boolean,
  ): readonly CrashSuspicion[] {
    const dropped = [...this.#crashes.values()]
      .flatMap(({ suspects }) => [...suspects.values()].filter(isDropped));
    for (const one of dropped) this.drop(one);
    return dropped;
  }
}
