import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  seconds,
  type ServiceId,
  type SoftwareVersion,
} from "../../shared/mod.ts";
import { STREAM_RETENTION } from "./stream_origin.ts";

/** Software that may have begun the streams of a route. */
export interface StreamSource {
  /** The host and the path prefix of the route. */
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: ServiceId;
  readonly software: SoftwareVersion;
}

/**
 * A source that was without a server for this long is stored again before it
 * begins streams, since another node may be about to drop it.
 */
const RENEWAL_DELAY: Duration = seconds(60);
/**
 * How long a source is kept after its last server: as long as its streams may
 * be resumed, and longer than a node may begin streams without storing it again.
 */
const SOURCE_RETENTION: Duration = milliseconds(
  STREAM_RETENTION + 2 * RENEWAL_DELAY,
);

interface KnownSource {
  readonly source: StreamSource;
  /** Whether the log is known to hold it, and to keep it for now. */
  readonly isStored: boolean;
  /** When a server of it was last registered, or the log last stated it. */
  readonly seenAt: Instant;
}

/**
 * The software that may have begun streams which can still be resumed. A source
 * is stored in the log before it begins its first stream, and dropped long after
 * its last server, so that a node that has just started knows all of them.
 */
export class StreamSources {
  readonly #known = new Map<string, KnownSource>();
  #isComplete = false;

  /**
   * Whether no source can be missing: the log holds all of them, or this run has
   * seen all that it has lost.
   */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** The sources that the log is known to hold. */
  get stored(): readonly StreamSource[] {
    return [...this.#known.values()].filter(({ isStored }) => isStored)
      .map(({ source }) => source);
  }

  /**
   * Applies a listing of the log. Sources that it lacks stay known, but have to
   * be stored again: the log may be back from an older copy.
   * @param now The present time.
   * @param listed The sources that the log holds.
   */
  list(now: Instant, listed: readonly StreamSource[]): void {
    for (const [key, known] of this.#known) {
      this.#known.set(key, { ...known, isStored: false });
    }
    for (const source of listed) this.recordStored(now, source);
  }

  /** Records that the log holds all sources. */
  recordComplete(): void {
    this.#isComplete = true;
  }

  /**
   * Records that the log holds a source.
   * @param now The present time.
   * @param source The source.
   */
  recordStored(now: Instant, source: StreamSource): void {
    this.#known.set(keyOf(source), { source, isStored: true, seenAt: now });
  }

  /**
   * Records that the log has dropped a source.
   * @param source The source.
   */
  recordDropped(source: StreamSource): void {
    this.#known.delete(keyOf(source));
  }

  /**
   * Records which sources may begin streams now.
   * @param now The present time.
   * @param live The sources that have registered servers.
   */
  observe(now: Instant, live: readonly StreamSource[]): void {
    for (const source of live) {
      const key = keyOf(source);
      const known = this.#known.get(key);
      const isStored = known?.isStored === true &&
        elapsed(known.seenAt, now) < RENEWAL_DELAY;
      this.#known.set(key, { source, isStored, seenAt: now });
    }
  }

  /**
   * Checks whether a source may begin streams.
   * @param source The source.
   * @returns Whether the log holds it.
   */
  isStored(source: StreamSource): boolean {
    return this.#known.get(keyOf(source))?.isStored === true;
  }

  /**
   * Finds the sources that the log lacks.
   * @returns The sources.
   */
  missing(): readonly StreamSource[] {
    return [...this.#known.values()].filter(({ isStored }) => !isStored)
      .map(({ source }) => source);
  }

  /**
   * Finds the sources whose streams can't be resumed any more.
   * @param now The present time.
   * @returns The sources.
   */
  expired(now: Instant): readonly StreamSource[] {
    return [...this.#known.values()]
      .filter(({ seenAt }) => elapsed(seenAt, now) >= SOURCE_RETENTION)
      .map(({ source }) => source);
  }

  /**
   * Finds what may have begun a stream, whichever route led to its path then.
   * @param host The host of its route.
   * @param path The path of its request.
   * @returns A source for each service and software version.
   */
  possibleSources(host: string, path: string): readonly StreamSource[] {
    const sources = [...this.#known.values()].map(({ source }) => source)
      .filter((one) => one.host === host && path.startsWith(one.pathPrefix));
    const distinct = new Map(
      sources.map((one) => [`${one.service} ${one.software}`, one]),
    );
    return [...distinct.values()];
  }

  /**
   * Finds what has begun a stream of unknown origin, if only one source can have
   * begun it.
   * @param host The host of its route.
   * @param path The path of its request.
   * @returns The source, or `undefined` if it isn't certain.
   */
  onlySource(host: string, path: string): StreamSource | undefined {
    const possible = this.possibleSources(host, path);
    return this.#isComplete && possible.length === 1 ? possible[0] : undefined;
  }
}

function keyOf(
  { host, pathPrefix, service, software }: StreamSource,
): string {
  return [host, pathPrefix, service, software].join("\0");
}
