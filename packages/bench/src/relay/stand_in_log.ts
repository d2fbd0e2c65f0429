import {
  type AdapterId,
  backendServerId,
  type CrashSuspicion,
  elapsed,
  type Failure,
  hasManyReaders,
  type LogEra,
  type LogOffset,
  logPosition,
  milliseconds,
  type RegisteredServer,
  type RelayConfiguration,
  scaledPause,
  type StreamSource,
  suspectedRunKey,
} from "@foxtailwind/core";
import {
  type ClaimRecord,
  type NodeRecord,
  ProcessClock,
  SharedLog,
  type SharedLogListener,
  type StoredOrigin,
  type StreamSourceChanges,
  type SuspicionChange,
} from "@foxtailwind/node/relay";
import { standInRegistryEntry, type StandInServer } from "./stand_in_server.ts";
import { STAND_IN_MODEL } from "./stand_in_wire.ts";
import { err, ok, type Result } from "neverthrow";

const STORE_DOWN: Failure = {
  reason: "unavailable",
  step: "read_log",
  peer: "store",
  message: "The stand-in of the store is down.",
  outcome: "not_run",
};

/** Passes a record of the store to a node's listener. */
type Notification = (listener: SharedLogListener, log: StandInLog) => void;

/** A server's entry, and its offset. */
interface StoredServer {
  readonly server: RegisteredServer;
  readonly offset: number;
}

/** A copy of what the store holds, to which it may come back. */
export interface StoreCopy {
  readonly servers: readonly (readonly [string, StoredServer])[];
  readonly claims: readonly ClaimRecord[];
  readonly nodes: readonly NodeRecord[];
  readonly suspicions: readonly (readonly [string, CrashSuspicion])[];
  readonly streamSources: readonly StreamSource[];
  readonly confirmedEra: LogEra | undefined;
  readonly origins: readonly StoredOrigin[];
  readonly configuration: RelayConfiguration | undefined;
  readonly registryOffset: number;
  readonly operatorsOffset: number;
}

/** The contents of the platform's store, shared by the nodes of a process. */
export class StandInStore {
  readonly #logs = new Set<StandInLog>();
  #servers = new Map<string, StoredServer>();
  #claims: ClaimRecord[] = [];
  /** All claims that were ever added, by their positions. */
  readonly #allClaims = new Map<LogOffset, ClaimRecord>();
  #nodes: NodeRecord[] = [];
  #suspicions = new Map<string, CrashSuspicion>();
  #configuration: RelayConfiguration | undefined;
  readonly #versions = new Map<AdapterId, number>();
  #streamSources: StreamSource[] = [];
  /** The era in which a node has confirmed that no source is missing. */
  #confirmedEra: LogEra | undefined;
  #origins: StoredOrigin[] = [];
  #registryOffset = 0;
  #operatorsOffset = 0;
  #era: LogEra = 0;
  /** Whether calls are answered and changes are delivered. */
  isUp = true;
  /**
   * Whether nodes receive registry entries only when they read them, which few
   * nodes of a large cluster do often.
   */
  pacesRegistryReads = false;

  /** The claims, in the order of the log. */
  get claims(): readonly ClaimRecord[] {
    return this.#claims;
  }

  /**
   * Finds a claim, also one that the store has lost.
   * @param position The claim's position.
   * @returns The claim, or `undefined` if there was none.
   */
  findClaim(position: LogOffset): ClaimRecord | undefined {
    return this.#allClaims.get(position);
  }

  /**
   * Publishes a configuration.
   * @param configuration The whole configuration.
   */
  configure(configuration: RelayConfiguration): void {
    this.#configuration = configuration;
    this.#operatorsOffset += 1;
    const end = this.#position(this.#operatorsOffset);
    this.#publish((listener) => {
      listener.configuration(configuration);
      listener.operatorsTold(end);
    });
  }

  /**
   * Returns the newest version of an adapter.
   * @param adapter The adapter.
   * @returns The version; 1 before any was set.
   */
  newestVersion(adapter: AdapterId): number {
    return this.#versions.get(adapter) ?? 1;
  }

  /**
   * Sets the newest version of an adapter.
   * @param adapter The adapter.
   * @param version The version.
   */
  setVersion(adapter: AdapterId, version: number): void {
    this.#versions.set(adapter, version);
    this.#publish((listener) => {
      listener.adapterVersion(STAND_IN_MODEL, adapter, version);
    });
  }

  /**
   * Adds a server to the registry or replaces its entry.
   * @param server The server.
   */
  register(server: StandInServer): void {
    const entry = standInRegistryEntry(server);
    this.#registryOffset += 1;
    const offset = this.#position(this.#registryOffset);
    this.#servers.set(server.id, {
      server: entry,
      offset: this.#registryOffset,
    });
    this.#publishEntry((listener, log) => {
      const seen = log.viewServer(entry);
      listener.registryEntry({ kind: "present", offset, server: seen });
    });
  }

  /**
   * Removes a server from the registry.
   * @param id The id of the server.
   */
  unregister(id: string): void {
    this.#servers.delete(id);
    this.#registryOffset += 1;
    const offset = this.#position(this.#registryOffset);
    this.#publishEntry((listener) => {
      listener.registryEntry({
        kind: "gone",
        offset,
        id: backendServerId(id),
      });
    });
  }

  /**
   * Adds claims. Each one is delivered to the nodes at once, so that no node
   * claims without knowing the earlier claims.
   * @param claims The claims.
   */
  appendClaims(claims: readonly ClaimRecord[]): void {
    for (const claim of claims) {
      this.#claims.push(claim);
      const offset = this.#position(this.#claims.length - 1);
      this.#allClaims.set(offset, claim);
      this.#publish((listener) => {
        listener.claim(claim, offset);
      });
    }
  }

  /**
   * Adds the record of a node.
   * @param node The node.
   */
  appendNode(node: NodeRecord): void {
    this.#nodes.push(node);
    this.#publish((listener) => {
      listener.node(node);
    });
  }

  /**
   * Adds and drops suspicions.
   * @param changes The changes.
   */
  changeSuspicions(changes: readonly SuspicionChange[]): void {
    for (const change of changes) {
      const suspectedRun = change.kind === "added"
        ? change.suspicion
        : change.key;
      const key = `${suspectedRun.content} ${suspectedRunKey(suspectedRun)}`;
      if (change.kind === "added") this.#suspicions.set(key, change.suspicion);
      else this.#suspicions.delete(key);
      this.#publish((listener) => {
        listener.suspicion(change);
      });
    }
  }

  /** The software that may begin streams. */
  get streamSources(): readonly StreamSource[] {
    return this.#streamSources;
  }

  /** What began streams, as far as nodes have written it. */
  get origins(): readonly StoredOrigin[] {
    return this.#origins;
  }

  /**
   * Stores and drops software that may begin streams.
   * @param changes The changes.
   */
  changeStreamSources({ added, dropped }: StreamSourceChanges): void {
    const isSame = (one: StreamSource) => (other: StreamSource) =>
      JSON.stringify(one) === JSON.stringify(other);
    for (const source of [...added, ...dropped]) {
      this.#streamSources = this.#streamSources
        .filter((known) => !isSame(source)(known));
    }
    this.#streamSources.push(...added);
    this.#publish((listener) => {
      for (const source of added) listener.streamSourceStored(source);
      for (const source of dropped) listener.streamSourceDropped(source);
    });
  }

  /** Confirms that no software that may begin streams is missing. */
  confirmStreamSources(): void {
    this.#confirmedEra = this.#era;
    this.#publish((listener) => {
      listener.streamSourcesConfirmed();
    });
  }

  /**
   * Adds what began streams.
   * @param origins The origins.
   */
  appendOrigins(origins: readonly StoredOrigin[]): void {
    this.#origins.push(...origins);
  }

  /**
   * Delivers the whole contents to a node, and all later changes.
   * @param log The log of the node.
   * @param listener Receives the contents.
   */
  attach(log: StandInLog, listener: SharedLogListener): void {
    this.#logs.add(log);
    this.#list(log, listener);
    listener.suspicionsListed([...this.#suspicions.values()]);
    for (const [adapter, version] of this.#versions) {
      listener.adapterVersion(STAND_IN_MODEL, adapter, version);
    }
  }

  /**
   * Copies what the store holds.
   * @returns The copy.
   */
  copy(): StoreCopy {
    return {
      servers: [...this.#servers],
      claims: [...this.#claims],
      nodes: [...this.#nodes],
      suspicions: [...this.#suspicions],
      streamSources: [...this.#streamSources],
      confirmedEra: this.#confirmedEra,
      origins: [...this.#origins],
      configuration: this.#configuration,
      registryOffset: this.#registryOffset,
      operatorsOffset: this.#operatorsOffset,
    };
  }

  /**
   * Goes back to an older copy: what was written since is lost, and its offsets
   * are given out again.
   * @param copy The copy.
   */
  restore(copy: StoreCopy): void {
    this.#servers = new Map(copy.servers);
    this.#claims = [...copy.claims];
    this.#nodes = [...copy.nodes];
    this.#suspicions = new Map(copy.suspicions);
    this.#streamSources = [...copy.streamSources];
    this.#confirmedEra = copy.confirmedEra;
    this.#origins = [...copy.origins];
    this.#configuration = copy.configuration;
    this.#registryOffset = copy.registryOffset;
    this.#operatorsOffset = copy.operatorsOffset;
    this.#era += 1;
    const era = this.#era;
    for (const [index, claim] of this.#claims.entries()) {
      this.#allClaims.set(this.#position(index), claim);
    }
    this.#publish((listener, log) => {
      this.#list(log, listener);
      for (const suspicion of this.#suspicions.values()) {
        listener.suspicion({ kind: "added", suspicion });
      }
      listener.logRestored(era);
    });
  }

  #list(log: StandInLog, listener: SharedLogListener): void {
    if (this.#configuration !== undefined) {
      listener.configuration(this.#configuration);
    }
    listener.operatorsTold(this.#position(this.#operatorsOffset));
    const entries = [...this.#servers.values()].map(({ server, offset }) =>
      ({
        kind: "present",
        offset: this.#position(offset),
        server: log.viewServer(server),
      }) as const
    );
    // The end is the offset after the last record.
    listener.registryListed(entries, this.#position(this.#registryOffset + 1));
    for (const [index, claim] of this.#claims.entries()) {
      listener.claim(claim, this.#position(index));
    }
    for (const node of this.#nodes) listener.node(node);
    listener.streamSourcesListed(
      this.#streamSources,
      this.#confirmedEra === this.#era,
    );
  }

  #position(offset: number): LogOffset {
    return logPosition(this.#era, offset);
  }

  /**
   * Stops the delivery of changes to a node.
   * @param log The log of the node.
   */
  detach(log: StandInLog): void {
    this.#logs.delete(log);
  }

  #publishEntry(notify: Notification): void {
    for (const log of this.#logs) log.deliverEntry(notify);
  }

  #publish(notify: Notification): void {
    for (const log of this.#logs) log.deliver(notify);
  }
}

/** The interval between two checks whether the store is up. */
const POLL_MILLISECONDS = 100;
/** The interval between two checks whether to read the registry. */
const REGISTRY_POLL_MILLISECONDS = 20;
/** The interval between two reads of the registry by a node that watches it. */
const WATCHER_PAUSE = milliseconds(650);
/** The same of the other nodes, in a cluster of twelve. */
const OTHER_READERS_PAUSE = milliseconds(4_000);

/** One node's view of the stand-in store. */
export class StandInLog extends SharedLog {
  readonly #store: StandInStore;
  /** Notifications held back while the store was down or the log silent. */
  readonly #heldBack: Notification[] = [];
  readonly #unreadEntries: Notification[] = [];
  readonly #clock = new ProcessClock();
  #registryReadAt = this.#clock.now();
  #registryTimer: NodeJS.Timeout | undefined;
  #listener: SharedLogListener | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Whether notifications are held back although calls are answered. */
  isSilent = false;
  /** Returns a server as this node sees it, which may be over a link. */
  viewServer: (server: RegisteredServer) => RegisteredServer = (server) =>
    server;

  /** @param store The store. */
  constructor(store: StandInStore) {
    super();
    this.#store = store;
  }

  override start(listener: SharedLogListener): void {
    this.#listener = listener;
    this.#store.attach(this, listener);
    const begunAt = listener.beginRead();
    listener.operatorsRead(begunAt);
    listener.registryRead(begunAt);
    listener.caughtUp();
    this.#timer = setInterval(() => {
      if (!this.#store.isUp) {
        listener.callFailed(STORE_DOWN);
        return;
      }
      this.#deliverHeldBack(listener);
      if (!this.isSilent) this.#reportReads(listener);
      listener.caughtUp();
    }, POLL_MILLISECONDS);
    this.#registryTimer = setInterval(() => {
      if (this.#isRegistryReadDue(listener)) this.readRegistry();
    }, REGISTRY_POLL_MILLISECONDS);
  }

  override claim(
    claims: readonly ClaimRecord[],
  ): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendClaims(claims);
    return Promise.resolve(ok(true));
  }

  /** Does nothing, since claims are delivered as they are added. */
  override catchUp(): Promise<void> {
    return Promise.resolve();
  }

  /** Does nothing, since the log is read often. */
  override readOperators(): void {}

  /** Whether this node reads the registry on behalf of others. */
  get isWatcher(): boolean {
    return this.#listener?.isWatcher === true;
  }

  override readRegistry(): void {
    const listener = this.#listener;
    if (listener === undefined || !this.#store.isUp || this.isSilent) return;
    this.#registryReadAt = this.#clock.now();
    const begunAt = listener.beginRead();
    for (const notify of this.#unreadEntries.splice(0)) notify(listener, this);
    listener.registryRead(begunAt);
  }

  /** Does nothing, since claims are delivered as they are added. */
  override catchUpSoon(): void {}

  override announce(node: NodeRecord): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendNode(node);
    return Promise.resolve(ok(true));
  }

  override changeSuspicions(
    changes: readonly SuspicionChange[],
  ): Promise<Result<void, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.changeSuspicions(changes);
    return Promise.resolve(ok(undefined));
  }

  override changeStreamSources(
    changes: StreamSourceChanges,
  ): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.changeStreamSources(changes);
    return Promise.resolve(ok(true));
  }

  /** Records are delivered as they are added, unless this log is silent. */
  override readStreamSources(): Promise<boolean> {
    if (!this.#store.isUp || this.#listener === undefined || this.isSilent) {
      return Promise.resolve(false);
    }
    this.#deliverHeldBack(this.#listener);
    return Promise.resolve(true);
  }

  override confirmStreamSources(): Promise<Result<boolean, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.confirmStreamSources();
    return Promise.resolve(ok(true));
  }

  override appendStreamOrigins(
    origins: readonly StoredOrigin[],
  ): Promise<Result<void, Failure>> {
    if (!this.#store.isUp) return Promise.resolve(err(STORE_DOWN));
    this.#store.appendOrigins(origins);
    return Promise.resolve(ok(undefined));
  }

  override readStreamOrigins(): Promise<
    Result<readonly StoredOrigin[], Failure>
  > {
    return Promise.resolve(
      this.#store.isUp ? ok(this.#store.origins) : err(STORE_DOWN),
    );
  }

  override stop(): void {
    clearInterval(this.#timer);
    clearInterval(this.#registryTimer);
    this.#store.detach(this);
    this.#listener = undefined;
  }

  /**
   * Passes a notification to the listener, or holds it back while the store is
   * down or the log is silent.
   * @param notify Calls the listener.
   */
  deliver(notify: Notification): void {
    if (!this.#store.isUp || this.isSilent) this.#heldBack.push(notify);
    else if (this.#listener !== undefined) notify(this.#listener, this);
  }

  /**
   * Passes an entry of the registry to the listener, or holds it back until the
   * node reads the registry.
   * @param notify Calls the listener.
   */
  deliverEntry(notify: Notification): void {
    if (this.#store.pacesRegistryReads) this.#unreadEntries.push(notify);
    else this.deliver(notify);
  }

  #reportReads(listener: SharedLogListener): void {
    const begunAt = listener.beginRead();
    listener.operatorsRead(begunAt);
    if (!this.#store.pacesRegistryReads) listener.registryRead(begunAt);
  }

  #isRegistryReadDue({ isWatcher, readerCount }: SharedLogListener): boolean {
    if (!this.#store.pacesRegistryReads) return false;
    const isNotified = !isWatcher && hasManyReaders(readerCount);
    const pause = isNotified
      ? scaledPause(OTHER_READERS_PAUSE, readerCount)
      : WATCHER_PAUSE;
    return elapsed(this.#registryReadAt, this.#clock.now()) >= pause;
  }

  #deliverHeldBack(listener: SharedLogListener): void {
    if (this.isSilent) return;
    for (const notify of this.#heldBack.splice(0)) notify(listener, this);
  }
}
