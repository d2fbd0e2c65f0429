import {
  type AdapterId,
  AdapterVersions,
  type BackendServerId,
  CachedAdapters,
  type CrashSuspicion,
  EngineClaims,
  type Failure,
  type FencingNumber,
  hasManyReaders,
  type Instant,
  type LogEra,
  type LogOffset,
  logOffset,
  milliseconds,
  type ModelId,
  nodeId,
  type RegisteredServer,
  type RegistryEntry,
  RELAY_SENTENCE,
  type RelayConfiguration,
  RevokedKeys,
  RouteTable,
  ServerRegistry,
  type ServiceId,
  SoftwareHistory,
  type StreamSource,
} from "@foxtailwind/core";
import type { NodeDigest } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import {
  ConfigurationProofs,
  type PeerProof,
} from "./accounts/configuration_proofs.ts";
import { AdmissionRecord } from "./admission_record.ts";
import { PeerTable } from "./peer_table.ts";
import { logRestart, logServerChange } from "./registry/registry_logging.ts";
import { RegistryProofs } from "./registry/registry_proofs.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { ServerDepartures } from "./server_departures.ts";
import { ServersByService } from "./servers_by_service.ts";
import type { ServingNodes } from "./serving_nodes.ts";
import {
  type ClaimRecord,
  type NodeRecord,
  type RecordTopic,
  SharedLogListener,
  type SkipReason,
  type SuspicionChange,
} from "./shared_log.ts";
import { StreamRecord } from "./streams/stream_record.ts";
import { SuspicionTracker } from "./crashes/suspicion_tracker.ts";
import { WorkCounts } from "./work_counts.ts";

/** The log counts as unreachable this long after the last successful call. */
const LOG_CONTACT_TIMEOUT = milliseconds(2_000);

/**
 * The number of nodes that watch the operators' records on behalf of all: the
 * first by id among the serving nodes that reach the log. The second one takes
 * over while the first one stops or is cut off.
 */
const WATCHER_COUNT = 2;

/** The dependencies of {@link Knowledge}. */
export interface KnowledgeParts {
  readonly settings: RelaySettings;
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

/** Where a change of the registry came from. */
export type RegistrySource = "log" | "peer" | "answer";

/** The part of {@link ServingNodes} that {@link Knowledge} uses. */
export type ServingView = Pick<
  ServingNodes,
  "has" | "isActive" | "takesEngines"
>;

const ALL_NODES_SERVE: ServingView = {
  has: () => true,
  isActive: () => true,
  takesEngines: () => true,
};

/** This node's view of the configuration, servers, claims and peers. */
export class Knowledge extends SharedLogListener {
  readonly versions = new AdapterVersions();
  readonly registry = new ServerRegistry();
  readonly softwareHistory = new SoftwareHistory();
  /** The software that may have begun streams, by routes. */
  readonly streamRecord = new StreamRecord();
  /** The departures that servers announce to this node in their answers. */
  readonly departures: ServerDepartures;
  readonly peers = new PeerTable();
  /** The adapters that engines probably cache, from their owners' digests. */
  readonly cachedAdapters = new CachedAdapters();
  /** Suspicions that requests crash servers. */
  readonly suspicionTracker: SuspicionTracker;
  /** Counts of the calls and checks that keep nodes informed. */
  readonly workCounts = new WorkCounts();
  /** What became of requests for places on this node's engines. */
  readonly admissions = new AdmissionRecord();
  readonly claims: EngineClaims;
  readonly proofs: ConfigurationProofs;
  /** The proofs that this node has the whole registry of servers. */
  readonly registryProofs: RegistryProofs;
  readonly revokedKeys = new RevokedKeys();
  readonly #parts: KnowledgeParts;
  #routes: RouteTable | undefined;
  #operatorsEnd = logOffset(0);
  readonly #serversByService = new ServersByService(this.registry);
  #lastLogReadAt: Instant | undefined;
  #lastLogCallSucceeded = false;
  /** The nodes that serve; all of them until the serving set is computed. */
  serving: ServingView = ALL_NODES_SERVE;
  /** Called after each change that may affect engine ownership. */
  onChange: () => void = () => undefined;
  /** Called when servers were added, removed or restarted, or are leaving. */
  onRegistryChange: (
    servers: readonly BackendServerId[],
    source: RegistrySource,
  ) => void = () => undefined;
  /** Called when the log has come back from an older copy. */
  onLogRestored: () => void = () => undefined;
  /** Called for each record that was skipped. */
  onRecordSkipped: (topic: RecordTopic, reason: SkipReason) => void = () =>
    undefined;

  /** @param parts The dependencies. */
  constructor(parts: KnowledgeParts) {
    super();
    this.#parts = parts;
    this.proofs = new ConfigurationProofs(parts.clock);
    this.registryProofs = new RegistryProofs(parts.clock);
    this.departures = new ServerDepartures(this.registry, parts.logger);
    this.suspicionTracker = new SuspicionTracker(parts);
    const { settings, incarnation } = parts;
    this.claims = new EngineClaims(
      { id: settings.node.id, incarnation },
      milliseconds(settings.engines.lease_milliseconds),
    );
  }

  /** The active configuration, or undefined before the first. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** The offset up to which this node has the operators' records. */
  get operatorsEnd(): LogOffset {
    return this.#operatorsEnd;
  }

  /**
   * Applies a peer's proof that it has the newest configuration.
   * @param askedAt When this node asked the peer.
   * @param proof The proof.
   */
  applyPeerProof(askedAt: Instant, proof: PeerProof): void {
    this.proofs.recordPeerProof(askedAt, proof, this.#operatorsEnd);
  }

  /**
   * Lists the registered servers of a service.
   * @param service The service.
   * @returns The servers, including those that are leaving.
   */
  servers(service: ServiceId): readonly RegisteredServer[] {
    return this.#serversByService.serversOf(service);
  }

  /** The registered model engines that are not leaving. */
  get engines(): readonly RegisteredServer[] {
    const services = this.#routes?.configuration.services ?? [];
    return services.filter((service) => service.engine !== undefined)
      .flatMap((service) => this.servers(service.id))
      .filter((server) => !server.leaving);
  }

  /**
   * Determines whether the platform's log answers this node.
   * @param now The present time.
   * @returns Whether it has answered recently.
   */
  isLogReachable(now: Instant): boolean {
    if (this.#lastLogReadAt === undefined) return false;
    // A node that is notified by others calls the log too rarely to use a
    // timeout, so the result of its last call decides.
    if (this.isNotifiedByPeers) {
      return this.#lastLogCallSucceeded;
    }
    return now - this.#lastLogReadAt < LOG_CONTACT_TIMEOUT;
  }

  /** Whether this run has read the platform's log. */
  get hasReadLog(): boolean {
    return this.#lastLogReadAt !== undefined;
  }

  override get isWatcher(): boolean {
    return this.#countPreferredWatchers((peer) => peer.reachesLog) <
      WATCHER_COUNT;
  }

  /** True for the nodes that would watch if every node reached the log. */
  override get retriesAtFullRate(): boolean {
    return this.#countPreferredWatchers(() => true) < WATCHER_COUNT;
  }

  /** Whether peers read the log for this node and send it changes. */
  get isNotifiedByPeers(): boolean {
    return hasManyReaders(this.readerCount) && !this.isWatcher;
  }

  override get isActive(): boolean {
    return this.serving.isActive(this.#parts.clock.now());
  }

  override get readerCount(): number {
    return this.peers.contacts(this.#parts.clock.now()).length + 1;
  }

  override configuration(configuration: RelayConfiguration): void {
    const known = this.#routes?.configuration.version ?? -1;
    if (configuration.version <= known) return;
    this.revokedKeys.recordChange(
      this.#routes?.configuration.accounts ?? [],
      configuration.accounts ?? [],
      configuration.version,
    );
    this.#routes = new RouteTable(configuration);
    this.#parts.logger.info("A configuration was activated.", {
      version: configuration.version,
      routes: configuration.routes.length,
      before: known,
    });
    this.onChange();
  }

  override adapterVersion(
    model: ModelId,
    adapter: AdapterId,
    version: number,
  ): void {
    if (this.versions.newest(model, adapter) >= version) return;
    this.versions.record(model, adapter, version);
    this.#parts.logger.info("An adapter version was set.", {
      model,
      adapter,
      version,
    });
    this.onChange();
  }

  override operatorsTold(end: LogOffset): void {
    if (end > this.#operatorsEnd) this.#operatorsEnd = end;
  }

  override beginRead(): Instant {
    return this.proofs.now;
  }

  override operatorsRead(begunAt: Instant): void {
    this.proofs.recordRead(begunAt);
  }

  override registryEntry(entry: RegistryEntry): void {
    this.#applyEntry(entry, "log");
  }

  /**
   * Applies entries of the registry that a peer has passed on.
   * @param entries The entries.
   */
  applyPeerEntries(entries: readonly RegistryEntry[]): void {
    for (const entry of entries) {
      if (this.registry.isNews(entry)) this.#applyEntry(entry, "peer");
    }
  }

  #applyEntry(entry: RegistryEntry, source: RegistrySource): void {
    const changes = this.registry.changeCount;
    const before = this.registry.revision;
    const id = entryId(entry);
    const known = this.registry.find(id);
    this.suspicionTracker.recordServerEntry(this.registry, entry);
    const outcome = this.registry.apply(this.#parts.clock.now(), entry);
    logRestart(this.#parts.logger, entry, outcome);
    this.departures.recordEntry(entry, outcome);
    if (this.registry.changeCount !== changes) {
      this.onRegistryChange([id], source);
      this.suspicionTracker.onRegistryChanged();
    }
    if (this.registry.revision === before) return;
    this.#recordSoftware(this.registry.find(id) ?? known);
    logServerChange(this.#parts.logger, entry, {
      known,
      source,
      age: this.registryProofs.age,
    });
    this.onChange();
  }

  /**
   * Records that a server's answer to this node announces its departure.
   * @param server The server, as known when the request was sent to it.
   */
  recordDeparture(server: RegisteredServer): void {
    const changes = this.registry.changeCount;
    const now = this.#parts.clock.now();
    if (!this.departures.recordAnswer(now, server)) return;
    this.#reportChanges(changes, "answer");
    this.onChange();
  }

  /**
   * Removes servers whose entries have not come back.
   * @param now The present time.
   */
  expireServers(now: Instant): void {
    const changes = this.registry.changeCount;
    this.registry.expire(now);
    this.#reportChanges(changes, "log");
  }

  override registryListed(
    entries: readonly RegistryEntry[],
    end: LogOffset,
  ): void {
    const now = this.#parts.clock.now();
    const changes = this.registry.changeCount;
    for (const entry of entries) {
      this.suspicionTracker.recordServerEntry(this.registry, entry);
    }
    const outcomes = this.registry.replace(now, entries, end);
    for (const [index, entry] of entries.entries()) {
      logRestart(this.#parts.logger, entry, outcomes[index]);
      this.departures.recordEntry(entry, outcomes[index]);
      if (entry.kind === "present") {
        this.#recordSoftware(this.registry.find(entry.server.id));
      }
    }
    this.#reportChanges(changes, "log");
    this.onChange();
  }

  override registryRead(begunAt: Instant): void {
    this.registryProofs.recordRead(begunAt);
  }

  override claim(claim: ClaimRecord, offset: LogOffset): void {
    const seenAt = this.#parts.clock.now();
    this.claims.apply({ ...claim, offset, seenAt });
    this.#parts.logger.info(RELAY_SENTENCE.newOwner, {
      engine: claim.engine,
      owner: claim.owner,
      offset,
      wait: claim.wait,
    });
    this.onChange();
  }

  override node(node: NodeRecord): void {
    this.streamRecord.recordNode();
    if (node.id === this.#parts.settings.node.id) return;
    this.peers.recordNode(this.#parts.clock.now(), node);
  }

  override suspicion(change: SuspicionChange): void {
    this.suspicionTracker.applyChange(change);
  }

  override suspicionsListed(suspicions: readonly CrashSuspicion[]): void {
    this.suspicionTracker.applyListing(suspicions);
  }

  override streamSourcesListed(
    sources: readonly StreamSource[],
    isConfirmed: boolean,
  ): void {
    this.streamRecord.list(this.#parts.clock.now(), sources, isConfirmed);
  }

  override streamSourceStored(source: StreamSource): void {
    this.streamRecord.sources.recordStored(this.#parts.clock.now(), source);
  }

  override streamSourceDropped(source: StreamSource): void {
    this.streamRecord.sources.recordDropped(source);
  }

  override streamSourcesConfirmed(): void {
    this.streamRecord.confirm();
  }

  /**
   * Applies what a peer has read of the software that begins streams. This
   * node's own log decides if it answers.
   * @param sources The software that the log holds.
   * @param isComplete Whether the peer knows that none is missing.
   */
  applyPeerSources(
    sources: readonly StreamSource[],
    isComplete: boolean,
  ): void {
    const now = this.#parts.clock.now();
    if (this.isLogReachable(now)) return;
    const known = this.streamRecord.sources;
    for (const source of sources) known.recordStored(now, source);
    if (isComplete) known.recordComplete();
  }

  override logRestored(era: LogEra): void {
    this.streamRecord.recordRestore(this.#parts.clock.now());
    this.claims.recordRestore(era);
    this.#parts.logger.warn("The platform's log is back from an older copy.", {
      era,
    });
    this.onLogRestored();
    this.onChange();
  }

  override recordSkipped(topic: RecordTopic, reason: SkipReason): void {
    this.onRecordSkipped(topic, reason);
  }

  override caughtUp(): void {
    this.workCounts.increment("log_answered");
    this.#lastLogReadAt = this.#parts.clock.now();
    this.suspicionTracker.reportRefused();
    if (this.#lastLogCallSucceeded) return;
    this.#lastLogCallSucceeded = true;
    this.#parts.logger.info("The platform's log is reachable.");
  }

  override callFailed(failure: Failure): void {
    this.workCounts.increment("log_failed");
    const now = this.#parts.clock.now();
    if (failure.reason === "timeout") this.registry.recordCallTimeout(now);
    else this.registry.recordStoreFailure(now);
    if (!this.#lastLogCallSucceeded) return;
    this.#lastLogCallSucceeded = false;
    this.#parts.logger.warn(RELAY_SENTENCE.logFailed, {
      step: failure.step,
      peer: failure.peer,
      reason: failure.reason,
      detail: failure.message,
    });
  }

  /**
   * Records that an engine rejected this node's fencing number.
   * @param engine The engine.
   * @param fence The fencing number.
   */
  recordFenced(engine: BackendServerId, fence: FencingNumber): void {
    this.claims.recordRefusal(engine, fence);
    this.#parts.logger.warn("An engine has a newer owner.", { engine, fence });
    this.onChange();
  }

  #reportChanges(since: number, source: RegistrySource): void {
    if (this.registry.changeCount === since) return;
    const { entries } = this.registry.changesSince(since);
    this.onRegistryChange(entries.map(entryId), source);
    this.suspicionTracker.onRegistryChanged();
  }

  #recordSoftware(server: RegisteredServer | undefined): void {
    if (server === undefined) return;
    this.softwareHistory.record(this.#parts.clock.now(), server);
  }

  /** Counts the candidates that take precedence over this node as watchers. */
  #countPreferredWatchers(isCandidate: (peer: NodeDigest) => boolean): number {
    const { settings, clock } = this.#parts;
    const { id } = settings.node;
    const isServing = this.serving.has(id);
    return this.peers.alive(clock.now()).filter((peer) => {
      if (!isCandidate(peer)) return false;
      const node = nodeId(peer.node);
      const serves = this.serving.has(node);
      return serves === isServing ? node < id : serves;
    }).length;
  }
}

function entryId(entry: RegistryEntry): BackendServerId {
  return entry.kind === "gone" ? entry.id : entry.server.id;
}
