import {
  elapsed,
  type Instant,
  RELAY_SENTENCE,
  seconds,
} from "@foxtailwind/core";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { ProcessClock } from "../clock/steady_clock.ts";
import type {
  ComponentLogger,
  LoggerFactory,
} from "../logging/component_logger.ts";
import { PeerChannels } from "../peers/peer_channels.ts";
import { PeerServer } from "../peers/peer_server.ts";
import { AdmissionLog } from "./admission_log.ts";
import { announceNode } from "./announce_node.ts";
import { BackendPools } from "./backend_pools.ts";
import type { RelayWire } from "./caller_wire.ts";
import { coalesceCalls } from "./coalesce_calls.ts";
import type { EngineControl } from "./engine_control.ts";
import { DepartureProber } from "./departure_prober.ts";
import { EngineOwners } from "./engine_owners.ts";
import { FrontServer } from "./front_server.ts";
import { Knowledge } from "./knowledge.ts";
import { OperationsServer } from "./operations_server.ts";
import type { OperationsWire } from "./operations_wire.ts";
import { makeRelayParts } from "./make_relay_parts.ts";
import { NodePresence } from "./node_presence.ts";
import { PeerDatagrams } from "./peer_datagrams.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { ReachMonitor } from "./reach_monitor.ts";
import { RegistryRefresher } from "./registry/registry_refresher.ts";
import { RegistrySpread } from "./registry/registry_spread.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import type { RelayParts } from "./relay_parts.ts";
import type { RelaySettings } from "./relay_settings.ts";
import {
  ADDRESS_LIFETIME_SECONDS,
  nextStopStep,
  type PlannedStop,
} from "./relay_stop.ts";
import { ServerLoads } from "./server_loads.ts";
import { ServingNodes } from "./serving_nodes.ts";
import type { SharedLog } from "./shared_log.ts";
import { StreamArchive } from "./streams/stream_archive.ts";
import { StreamDirectory } from "./streams/stream_directory.ts";
import { StreamSourceRecorder } from "./streams/stream_source_recorder.ts";

/** The implementations of the relay's interfaces for one platform. */
export interface RelayPlatform {
  readonly log: SharedLog;
  readonly wire: RelayWire;
  readonly control: EngineControl;
  readonly operations: OperationsWire;
}

/**
 * Nodes announce themselves again within this time, multiplied by their number,
 * after the log has come back from an older copy.
 */
const REANNOUNCEMENT_MILLISECONDS_PER_NODE = 10;
/** The interval of checks of claims, expired servers and limits. */
const REFRESH_INTERVAL_MILLISECONDS = 250;
/** The interval of these checks on a standby node. */
const STANDBY_REFRESH_INTERVAL_MILLISECONDS = 500;
const STOP_CHECK_INTERVAL_MILLISECONDS = 100;

/** A node that relays requests by route, assembled from its parts. */
export class RelayDaemon {
  readonly #settings: RelaySettings;
  readonly #platform: RelayPlatform;
  readonly #clock = new ProcessClock();
  readonly #logger: ComponentLogger;
  readonly #incarnation = randomUUID();
  readonly #channels = new PeerChannels();
  readonly #knowledge: Knowledge;
  readonly #owners: EngineOwners;
  readonly #exchange: PeerExchange;
  readonly #serving: ServingNodes;
  readonly #presence: NodePresence;
  readonly #peerServer: PeerServer;
  readonly #pools = new BackendPools();
  readonly #reach: ReachMonitor;
  readonly #departureProber: DepartureProber;
  readonly #forwarder: PeerForwarder;
  readonly #loads: ServerLoads;
  readonly #datagrams = new PeerDatagrams();
  readonly #streams: StreamDirectory;
  readonly #streamArchive: StreamArchive;
  readonly #streamRecorder: StreamSourceRecorder;
  readonly #registrySpread: RegistrySpread;
  readonly #registryRefresher: RegistryRefresher;
  readonly #parts: RelayParts;
  readonly #front: FrontServer;
  readonly #operations: OperationsServer;
  readonly #metrics: RelayMetrics;
  #refreshTimer: NodeJS.Timeout | undefined;
  #lastRequestAt: Instant;
  #retainedRevision = 0;
  #operationsPort = 0;

  /**
   * @param settings The validated settings.
   * @param platform The platform's implementations.
   * @param loggers Creates the loggers of the parts.
   */
  constructor(
    settings: RelaySettings,
    platform: RelayPlatform,
    loggers: LoggerFactory,
  ) {
    this.#settings = settings;
    this.#platform = platform;
    this.#logger = loggers.forComponent("daemon");
    this.#lastRequestAt = this.#clock.now();
    this.#loads = new ServerLoads(settings.node.failure_domain);
    this.#knowledge = new Knowledge({
      settings,
      incarnation: this.#incarnation,
      clock: this.#clock,
      logger: loggers.forComponent("configuration"),
    });
    const knowledge = this.#knowledge;
    const clock = this.#clock;
    this.#reach = new ReachMonitor({
      knowledge,
      pools: this.#pools,
      clock,
      logger: loggers.forComponent("peers"),
      onChange: () => {
        this.#exchange.exchangeSoon();
      },
    });
    this.#departureProber = new DepartureProber({
      knowledge,
      pools: this.#pools,
      wire: platform.wire,
      clock,
    });
    this.#forwarder = new PeerForwarder({
      knowledge,
      reach: this.#reach,
      clock,
    });
    this.#serving = new ServingNodes({
      self: settings.node.id,
      failureDomain: settings.node.failure_domain,
      processors: settings.vm.processor_share * settings.vm.processor_speed,
      peers: knowledge.peers,
      startedAt: clock.now(),
      ownsEngines: () => this.#owners.ownsAny,
      isLeaving: () => this.#presence.isLeaving,
      onActivated: () => {
        this.#exchange.exchangeSoon();
        this.#platform.log.catchUpSoon();
      },
    });
    knowledge.serving = this.#serving;
    this.#owners = new EngineOwners({
      settings,
      knowledge,
      control: platform.control,
      clock,
      logger: loggers.forComponent("ownership"),
      log: platform.log,
      incarnation: this.#incarnation,
      isLeaving: () => this.#presence.isLeaving,
      isUnreached: (service) => this.#reach.isUnreached(service),
      onEngineGained: () => {
        this.#exchange.exchangeSoon();
      },
    });
    this.#presence = new NodePresence({
      settings,
      knowledge,
      clock,
      logger: loggers.forComponent("peers"),
      incarnation: this.#incarnation,
      engines: () => this.#owners.digests,
      accounts: () => this.#parts.quotas.ownUses,
      retries: (now) => this.#parts.retryBudgets.uses(now),
      isEstablished: (now) => this.#parts.retryBudgets.isEstablished(now),
      serving: this.#serving,
      exchangePeriodMilliseconds: () => this.#exchange.periodMilliseconds,
      limits: () => this.#parts.limits.ownLimits,
      unreachedServices: () => this.#reach.unreachedServices,
    });
    this.#streamRecorder = new StreamSourceRecorder({
      knowledge,
      log: platform.log,
      clock,
      logger: loggers.forComponent("configuration"),
    });
    this.#streamArchive = new StreamArchive({
      knowledge,
      log: platform.log,
      clock,
    });
    this.#streams = new StreamDirectory({
      knowledge,
      channels: this.#channels,
      datagrams: this.#datagrams,
      clock,
      self: this.#presence.record,
      archive: this.#streamArchive,
    });
    this.#exchange = new PeerExchange({
      self: this.#presence.record,
      knowledge,
      streams: this.#streams,
      owners: this.#owners,
      channels: this.#channels,
      clock,
      logger: loggers.forComponent("peers"),
      digest: () => this.#presence.digest,
    });
    this.#registrySpread = new RegistrySpread({
      knowledge,
      datagrams: this.#datagrams,
      hubAddresses: () => this.#exchange.hubAddresses,
      memberAddresses: () =>
        this.#exchange.role.isHub
          ? this.#exchange.askerAddresses(clock.now())
          : [],
    });
    knowledge.onRegistryChange = (servers, source) => {
      this.#registrySpread.recordChange(servers, source);
    };
    this.#registryRefresher = new RegistryRefresher({
      knowledge,
      exchange: this.#exchange,
      log: platform.log,
      clock,
    });
    this.#peerServer = new PeerServer([this.#exchange.registration]);
    this.#parts = this.#createRelayParts(loggers);
    this.#front = new FrontServer(this.#parts, this.#forwarder);
    this.#metrics = new RelayMetrics({
      requestsInProgress: () => this.#front.requestsInProgress,
      clientConnections: () => this.#parts.clients.connections.count,
      clientBytes: () => this.#parts.clients.usedBytes,
      configurationVersion: () => knowledge.routes?.configuration.version ?? 0,
      enginesOwned: () => this.#owners.digests.length,
      nodesAlive: () => knowledge.peers.alive(clock.now()).length,
      nodesServing: () => this.#serving.count,
      isActive: () => this.#serving.isActive(clock.now()) ? 1 : 0,
      contentsRefused: () =>
        knowledge.suspicionTracker.quarantine.quarantinedContents(clock.now())
          .size,
      serversLimited: () => this.#parts.limits.limitedRunCount,
      registryAge: () => knowledge.registryProofs.age,
      work: () => knowledge.workCounts.counts,
      waitingUses: () => knowledge.admissions.waiting,
    });
    new AdmissionLog({
      record: knowledge.admissions,
      metrics: this.#metrics,
      logger: loggers.forComponent("ownership"),
      clock,
    }).listen();
    this.#operations = new OperationsServer(platform.operations, {
      isReady: () => this.#presence.isReady,
      addresses: (failureDomain) =>
        this.#presence.callerAddresses(failureDomain),
      addressLifetimeSeconds: Math.min(
        ADDRESS_LIFETIME_SECONDS,
        settings.addresses.longest_lifetime_seconds,
      ),
      metrics: () => this.#metrics.text(),
      connectionLimit: this.#parts.clients.operationsConnections,
      onConnectionLimitReached: () => {
        this.#parts.clients.recordLimit("operations_connections");
      },
      quarantines: () => this.#parts.crashReports.quarantines,
      liftQuarantine: (content) =>
        this.#parts.crashReports.liftQuarantine(content),
    });
    knowledge.onLogRestored = () => {
      this.#parts.crashReports.rewriteRecent();
      const { readerCount } = knowledge;
      const delay = REANNOUNCEMENT_MILLISECONDS_PER_NODE * readerCount;
      setTimeout(() => {
        void announceNode(platform.log, this.#presence);
      }, delay * Math.random()).unref();
    };
    knowledge.onRecordSkipped = (topic, reason) => {
      this.#metrics.recordSkipped(topic, reason);
    };
    knowledge.suspicionTracker.onContentsRefused = () => {
      this.#front.applyQuarantine();
    };
    // A read of the log brings many records, each of which is a change.
    knowledge.onChange = coalesceCalls(() => {
      this.#front.applyLimits();
      this.#owners.refresh();
    });
  }

  /** The address at which callers reach this node, once it has started. */
  get callerAddress(): string {
    return this.#presence.callerAddress;
  }

  /** The address of readiness checks, once the node has started. */
  get readinessAddress(): string {
    return `${this.#settings.listen.readiness.host}:${this.#operationsPort}`;
  }

  /** Starts all parts. */
  async start(): Promise<void> {
    const { callers, peers, readiness, addresses, metrics } =
      this.#settings.listen;
    this.#platform.log.start(this.#knowledge);
    const peersPort = await this.#peerServer.listen(peers);
    await this.#datagrams.listen({ host: peers.host, port: peersPort });
    this.#presence.recordPorts({
      peers: peersPort,
      callers: await this.#front.listen(callers),
    });
    this.#exchange.start();
    this.#registryRefresher.start();
    void this.#streamRecorder.prepared.then(() =>
      announceNode(this.#platform.log, this.#presence)
    );
    this.#scheduleRefresh();
    this.#operationsPort = await this.#operations.listen({
      readiness,
      addresses,
      metrics,
    });
    this.#logger.info(RELAY_SENTENCE.started, {
      node: this.#settings.node.id,
      incarnation: this.#incarnation,
    });
  }

  /** Withdraws from the caller addresses, finishes requests, and stops. */
  async stop(): Promise<void> {
    const stop: PlannedStop = {
      begunAt: this.#clock.now(),
      grace: seconds(this.#settings.stop.grace_seconds),
    };
    this.#presence.plannedStop = stop;
    this.#logger.info("Stopping.", { running: this.#front.requestsInProgress });
    this.#exchange.exchange();
    this.#owners.refresh();
    for (;;) {
      const step = nextStopStep(this.#clock.now(), {
        ...stop,
        running: this.#front.requestsInProgress,
        lastRequestAt: this.#lastRequestAt,
      });
      if (step === "end") break;
      if (step === "close_door") this.#front.stopListening();
      await sleep(STOP_CHECK_INTERVAL_MILLISECONDS);
    }
    this.#logger.info("Stopped.", {
      cut: this.#front.requestsInProgress,
      took: Math.round(elapsed(stop.begunAt, this.#clock.now())),
    });
    await this.#close();
  }

  async #close(): Promise<void> {
    clearTimeout(this.#refreshTimer);
    this.#exchange.stop();
    this.#registryRefresher.stop();
    this.#registrySpread.stop();
    this.#streamRecorder.stop();
    this.#streamArchive.stop();
    this.#datagrams.close();
    this.#owners.stop();
    this.#parts.crashReports.stop();
    this.#platform.log.stop();
    this.#front.stopListening();
    await this.#front.abortAll();
    this.#peerServer.abortConnections();
    this.#channels.close();
    await this.#operations.close();
    await this.#forwarder.destroy();
    await this.#pools.destroy();
  }

  #createRelayParts(loggers: LoggerFactory): RelayParts {
    return makeRelayParts({
      settings: this.#settings,
      wire: this.#platform.wire,
      knowledge: this.#knowledge,
      owners: this.#owners,
      presence: this.#presence,
      serving: this.#serving,
      channels: this.#channels,
      pools: this.#pools,
      loads: this.#loads,
      streamRecorder: this.#streamRecorder,
      streams: this.#streams,
      log: this.#platform.log,
      onLimitsChanged: () => {
        this.#exchange.exchangeSoon();
      },
      requestProof: () => {
        this.#exchange.exchangeSoon();
        this.#platform.log.readOperators();
      },
      clock: this.#clock,
      logger: loggers.forComponent("callers"),
      recordClientLimit: (limit) => {
        this.#metrics.recordClientLimit(limit);
      },
      recordRefusal: (reason, account) => {
        this.#metrics.recordRefusal(reason, account);
      },
      recordRequest: (request, outcome, took, firstAfter) => {
        this.#lastRequestAt = this.#clock.now();
        this.#metrics.recordRequest(request, outcome, took, firstAfter);
      },
    });
  }

  #scheduleRefresh(): void {
    const pause = this.#serving.isActive(this.#clock.now())
      ? REFRESH_INTERVAL_MILLISECONDS
      : STANDBY_REFRESH_INTERVAL_MILLISECONDS;
    this.#refreshTimer = setTimeout(() => {
      this.#refresh();
      this.#scheduleRefresh();
    }, pause);
  }

  #refresh(): void {
    const now = this.#clock.now();
    const { registry, workCounts: work } = this.#knowledge;
    work.increment("look");
    this.#parts.crashReports.refresh(now);
    this.#knowledge.expireServers(now);
    this.#serving.refresh(now);
    this.#owners.refresh();
    this.#presence.refresh(now);
    this.#parts.limits.refresh(now);
    this.#parts.quotas.refresh(now);
    this.#parts.retryBudgets.refresh(now);
    this.#reach.refresh();
    this.#departureProber.refresh();
    this.#streamRecorder.refresh(now);
    if (registry.revision === this.#retainedRevision) return;
    this.#retainedRevision = registry.revision;
    this.#pools.retainOnly(registry.all);
    const ids = new Set(registry.all.map((server) => server.id));
    this.#loads.retain(ids);
    this.#knowledge.cachedAdapters.retain(ids);
  }
}
