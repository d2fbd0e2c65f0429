import {
  elapsed,
  type Instant,
  milliseconds,
  type RegisteredServer,
  type Route,
  seconds,
  STREAM_RETENTION,
  type StreamSource,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { ComponentLogger } from "../../logging/component_logger.ts";
import type { Knowledge } from "../knowledge.ts";
import type { SharedLog } from "../shared_log.ts";

/** The dependencies of {@link StreamSourceRecorder}. */
export interface StreamSourceRecorderParts {
  readonly knowledge: Knowledge;
  readonly log: Pick<
    SharedLog,
    "changeStreamSources" | "confirmStreamSources" | "readStreamSources"
  >;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/**
 * Nodes that store sources on behalf of all wait up to this long, multiplied by
 * the number of nodes, so that few of those that start together write.
 */
const STORE_DELAY_MILLISECONDS_PER_NODE = 10;
/**
 * How long after a return of the log from an older copy all nodes have stored
 * again what it lost.
 */
const RESTORE_TIME = seconds(10);
/** Sources are dropped only by a node whose registry is at most this old. */
const REGISTRY_AGE_LIMIT = milliseconds(2_000);

/**
 * Stores in the log which software may begin streams, before it does, and drops
 * what can't be resumed any more.
 */
export class StreamSourceRecorder {
  readonly #parts: StreamSourceRecorderParts;
  readonly #startedAt: Instant;
  #live: readonly StreamSource[] = [];
  #liveOf: unknown;
  #liveRevision = -1;
  #isWriting = false;
  #read: Promise<boolean> = Promise.resolve(true);
  #nextRead: Promise<boolean> | undefined;
  #storeTimer: NodeJS.Timeout | undefined;
  #onPrepared: () => void = () => undefined;
  /**
   * Resolves once the log has been read and an empty record was confirmed. This
   * node must not announce itself before, which would make the log look used.
   */
  readonly prepared = new Promise<void>((resolve) => {
    this.#onPrepared = resolve;
  });

  /** @param parts The dependencies. */
  constructor(parts: StreamSourceRecorderParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
    parts.knowledge.streamRecord.onRead = () => {
      // Where the log ends is known only once its listing has been applied.
      setImmediate(() => {
        void this.#prepare();
      });
    };
  }

  /**
   * Checks whether a server may begin streams of a route. If the log lacks its
   * software, it is stored now.
   * @param route A route whose streams may be resumed.
   * @param server The server.
   * @returns Whether the log holds its software.
   */
  mayBegin(route: Route, server: RegisteredServer): boolean {
    const { knowledge, clock } = this.#parts;
    const source = toSource(route, server);
    knowledge.streamRecord.sources.observe(clock.now(), [source]);
    if (knowledge.streamRecord.sources.isStored(source)) return true;
    void this.#store();
    return false;
  }

  /**
   * Finds what has begun a stream of unknown origin, if only one source can have
   * begun it. The log is read first: another node may have begun streams with
   * software that this one has not heard of.
   * @param route The route of the request that resumes the stream.
   * @param path The path of the request.
   * @returns The source, or `undefined` if it isn't certain.
   */
  async findOnlySource(
    { host }: Route,
    path: string,
  ): Promise<StreamSource | undefined> {
    const { knowledge, clock, logger } = this.#parts;
    const { sources: streamSources } = knowledge.streamRecord;
    const isRead = await this.#readSources();
    streamSources.observe(clock.now(), this.#liveSources());
    const source = isRead ? streamSources.onlySource(host, path) : undefined;
    if (source === undefined) {
      logger.info("It is not certain which software began a stream.", {
        log_was_read: isRead,
        record: knowledge.streamRecord.state,
        possible: streamSources.possibleSources(host, path)
          .map(({ service, software }) => `${service} ${software}`).join(),
      });
    }
    return source;
  }

  /**
   * Stores, drops and confirms what is due, on behalf of all nodes.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    const { knowledge } = this.#parts;
    knowledge.streamRecord.sources.observe(now, this.#liveSources());
    void this.#prepare();
    if (!knowledge.isWatcher || !knowledge.isLogReachable(now)) return;
    if (knowledge.streamRecord.sources.missing().length > 0) this.#storeSoon();
    else if (this.#isConfirmationDue(now)) void this.#confirm();
    this.#dropExpired(now);
  }

  /** Stops writing. */
  stop(): void {
    clearTimeout(this.#storeTimer);
  }

  /** Reads the log; calls that come during a read share the next one. */
  #readSources(): Promise<boolean> {
    this.#nextRead ??= this.#read.then(() => {
      this.#nextRead = undefined;
      const read = this.#parts.log.readStreamSources();
      this.#read = read;
      return read;
    });
    return this.#nextRead;
  }

  /** The sources that have registered servers. */
  #liveSources(): readonly StreamSource[] {
    const { knowledge } = this.#parts;
    const { routes, registry } = knowledge;
    const isKnown = this.#liveOf === routes &&
      this.#liveRevision === registry.revision;
    if (isKnown) return this.#live;
    this.#liveOf = routes;
    this.#liveRevision = registry.revision;
    const sources = (routes?.configuration.routes ?? [])
      .filter((route) => route.resumable)
      .flatMap((route) =>
        route.targets.filter(({ weight }) => weight > 0).flatMap((target) =>
          knowledge.servers(target.service).map((server) =>
            toSource(route, server)
          )
        )
      );
    this.#live = distinct(sources);
    return this.#live;
  }

  /** Stores missing sources, after a delay in which others may store them. */
  #storeSoon(): void {
    const delay = STORE_DELAY_MILLISECONDS_PER_NODE *
      this.#parts.knowledge.readerCount * Math.random();
    this.#storeTimer ??= setTimeout(() => {
      this.#storeTimer = undefined;
      void this.#store();
    }, delay);
  }

  async #store(): Promise<void> {
    const { knowledge, log, clock, logger } = this.#parts;
    const added = knowledge.streamRecord.sources.missing();
    if (this.#isWriting || added.length === 0) return;
    this.#isWriting = true;
    const result = await log.changeStreamSources({ added, dropped: [] });
    this.#isWriting = false;
    if (result.isErr()) return;
    for (const source of added) {
      knowledge.streamRecord.sources.recordStored(clock.now(), source);
      logger.info("Software may begin streams.", toFields(source));
    }
  }

  #dropExpired(now: Instant): void {
    const { knowledge, log, logger } = this.#parts;
    const { streamRecord, registryProofs } = knowledge;
    const { age } = registryProofs;
    if (this.#isWriting || age === undefined || age > REGISTRY_AGE_LIMIT) {
      return;
    }
    const dropped = streamRecord.sources.expired(now);
    if (dropped.length === 0) return;
    this.#isWriting = true;
    void log.changeStreamSources({ added: [], dropped }).then((result) => {
      this.#isWriting = false;
      if (result.isErr() || !result.value) return;
      for (const source of dropped) {
        streamRecord.sources.recordDropped(source);
        logger.info("Software begins no more streams.", toFields(source));
      }
    });
  }

  /** Confirms the record of a log that no node has used before. */
  async #prepare(): Promise<void> {
    const { knowledge } = this.#parts;
    if (knowledge.streamRecord.state === "unread") return;
    if (knowledge.streamRecord.state === "new") await this.#confirm();
    if (knowledge.streamRecord.state !== "new") this.#onPrepared();
  }

  /**
   * Whether this node can tell that the log holds all sources, although it came
   * back from an older copy: what it lost has been stored again, or its streams
   * can't be resumed any more.
   */
  #isConfirmationDue(now: Instant): boolean {
    const { state, sources, restoredAt } = this.#parts.knowledge.streamRecord;
    if (state !== "unconfirmed") return false;
    if (elapsed(this.#startedAt, now) >= STREAM_RETENTION) return true;
    return sources.isComplete && restoredAt !== undefined &&
      elapsed(restoredAt, now) >= RESTORE_TIME;
  }

  async #confirm(): Promise<void> {
    if (this.#isWriting) return;
    this.#isWriting = true;
    const result = await this.#parts.log.confirmStreamSources();
    this.#isWriting = false;
    if (result.isOk() && result.value) {
      this.#parts.knowledge.streamSourcesConfirmed();
    }
  }
}

function toSource(
  { host, pathPrefix }: Route,
  { service, software }: RegisteredServer,
): StreamSource {
  return { host, pathPrefix, service, software };
}

function toFields({ host, pathPrefix, service, software }: StreamSource) {
  return { host, prefix: pathPrefix, service, software };
}

function distinct(sources: readonly StreamSource[]): readonly StreamSource[] {
  return [
    ...new Map(sources.map((one) => [JSON.stringify(one), one])).values(),
  ];
}
