import {
  type AdapterId,
  backendServerId,
  type CrashSuspicion,
  type LogEra,
  type LogOffset,
  logPosition,
  type RegisteredServer,
  type RelayConfiguration,
  type StreamSource,
  suspectedRunKey,
} from "@foxtailwind/core";
import type {
  ClaimRecord,
  NodeRecord,
  SharedLogListener,
  StoredOrigin,
  StreamSourceChanges,
  SuspicionChange,
} from "@foxtailwind/node/relay";
import { standInRegistryEntry, type StandInServer } from "./stand_in_server.ts";
import { STAND_IN_MODEL } from "./stand_in_wire.ts";

/** A node's view of the store, as the store sees it. */
export interface StoreReader {
  /** Returns a server as the node sees it, which may be over a link. */
  readonly viewServer: (server: RegisteredServer) => RegisteredServer;
  /** Passes a notification to the node's listener. */
  deliver(notify: Notification): void;
  /** Passes an entry of the registry to the node's listener. */
  deliverEntry(notify: Notification): void;
}

/** Passes a record of the store to a node's listener. */
export type Notification = (
  listener: SharedLogListener,
  reader: StoreReader,
) => void;

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
  readonly #logs = new Set<StoreReader>();
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
  attach(log: StoreReader, listener: SharedLogListener): void {
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

  #list(log: StoreReader, listener: SharedLogListener): void {
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
  detach(log: StoreReader): void {
    this.#logs.delete(log);
  }

  #publishEntry(notify: Notification): void {
    for (const log of this.#logs) log.deliverEntry(notify);
  }

  #publish(notify: Notification): void {
    for (const log of this.#logs) log.deliver(notify);
  }
}
