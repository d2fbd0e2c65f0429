import { type EngineId, engineId, RequestTelemetry } from "@foxtailwind/core";
import {
  createDispatcher,
  HttpEngineClient,
  type HttpLogClient,
  HttpServiceClient,
  type Vm,
} from "@foxtailwind/edges";
import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  makeAddresses,
  makeCluster,
  makeDrain,
  makeMetrics,
  makePlatformClients,
} from "./assembly/mod.ts";
import { ProcessClock } from "./clock/steady_clock.ts";
import {
  ClusterAssignment,
  type ClusterNode,
  ClusterOrderAuthorizer,
  createClusterService,
} from "./cluster/mod.ts";
import { readClusterStatus } from "./configuration/cluster_status.ts";
import { ConfigurationFollower } from "./configuration/configuration_follower.ts";
import { ConfigurationPublisher } from "./configuration/configuration_publisher.ts";
import { SnapshotWriter } from "./configuration/snapshot_writer.ts";
import { ConfigurationDistributionService } from "./configuration/configuration_distribution_service.ts";
import { DaemonParts } from "./daemon_parts.ts";
import {
  DeliveryParts,
  type KeyedExecution,
  ServiceDelivery,
} from "./delivery/mod.ts";
import { type Drain, LeavingEngines, WorkInProgress } from "./drain/mod.ts";
import { createHttpApplication } from "./http_application.ts";
import type { LoggerFactory } from "./logging/component_logger.ts";
import type { MetricsSink } from "./metrics/mod.ts";
import { createGenerationService } from "./peers/generation_service.ts";
import { PeerChannels } from "./peers/peer_channels.ts";
import { PeerClients } from "./peers/peer_clients.ts";
import { PeerServer } from "./peers/peer_server.ts";
import { VmDirectory } from "./platform/vm_directory.ts";
import { type AddressDirectory, ServiceDispatcher } from "./routing/mod.ts";
import type { GenerationRouter } from "./serving/generation_router.ts";
import { ServingParts } from "./serving/serving_parts.ts";
import type { Settings } from "./settings/settings.ts";
import { ControlledEngines } from "./telemetry/controlled_engines.ts";
import { NodeTelemetry } from "./telemetry/node_telemetry.ts";

/** The addresses on which a daemon listens. */
export interface DaemonAddresses {
  readonly http: string;
  readonly grpc: string;
}

/** How long streams between nodes that carry no requests may take to close. */
const CONTROL_STREAM_CLOSE_MILLISECONDS = 1_000;

/** A node: creates, starts and stops all its components. */
export class Daemon extends DaemonParts {
  override readonly settings: Settings;
  override readonly clock = new ProcessClock();
  override readonly log: HttpLogClient;
  override readonly services: HttpServiceClient;
  override readonly serviceDispatcher: ServiceDispatcher;
  override readonly keyedExecution: KeyedExecution;
  override readonly serviceDelivery: ServiceDelivery;
  override readonly addresses: AddressDirectory;
  override readonly work = new WorkInProgress();
  override readonly drain: Drain;
  override readonly directory: VmDirectory;
  override readonly follower: ConfigurationFollower;
  override readonly observer = new RequestTelemetry(this.clock.now());
  override readonly telemetry: NodeTelemetry;
  override readonly publisher: ConfigurationPublisher;
  override readonly router: GenerationRouter;
  override readonly delivery: DeliveryParts;
  override readonly metrics: MetricsSink;
  readonly #loggers: LoggerFactory;
  readonly #channels = new PeerChannels();
  readonly #cluster: ClusterNode;
  readonly #serving: ServingParts;
  readonly #spread: ConfigurationDistributionService;
  readonly #snapshots: SnapshotWriter;
  readonly #leavingEngines: LeavingEngines;
  readonly #peers = new PeerClients(this.#channels);
  readonly #peerServer: PeerServer;
  readonly #dispatcher = createDispatcher();
  #application: NestFastifyApplication | undefined;
  #stopped: Promise<void> | undefined;

  constructor(settings: Settings, loggers: LoggerFactory) {
    super();
    this.settings = settings;
    this.#loggers = loggers;
    this.metrics = makeMetrics(settings, loggers);
    const dispatcher = this.#dispatcher;
    const { clock } = this;
    const platform = makePlatformClients(settings, dispatcher);
    this.log = platform.log;
    this.services = new HttpServiceClient({ dispatcher });
    this.directory = new VmDirectory(
      platform.vmList,
      loggers.forComponent("membership"),
    );
    this.follower = new ConfigurationFollower({
      self: {
        id: settings.node.id,
        failureDomain: settings.node.failure_domain,
      },
      log: this.log,
      directory: this.directory,
      channels: this.#channels,
      clock: this.clock,
      logger: loggers.forComponent("configuration"),
    });
    this.publisher = new ConfigurationPublisher(this);
    this.#snapshots = new SnapshotWriter({
      self: settings.node.id,
      log: this.log,
      follower: this.follower,
      directory: this.directory,
      clock: this.clock,
      logger: loggers.forComponent("configuration"),
    });
    this.#spread = new ConfigurationDistributionService(
      this.follower.store,
      () => this.follower.status(),
    );
    this.#cluster = makeCluster({
      settings,
      clock,
      directory: this.directory,
      dispatcher,
      channels: this.#channels,
      loggers,
    });
    this.#serving = new ServingParts({
      log: this.log,
      self: settings.node.id,
      directory: this.directory,
      peers: this.#peers,
      channels: this.#channels,
      clock: this.clock,
      logger: loggers.forComponent("serving"),
      observer: this.observer,
      orderAuthorizer: new ClusterOrderAuthorizer(this.#cluster),
      assignment: new ClusterAssignment(this.#cluster),
      store: settings.platform.weight_store_id,
      storeClient: platform.weightStore,
      engineClient: (vm) => this.#engineClient(engineId(vm.id), vm.address),
    });
    this.router = this.#serving.router;
    this.delivery = new DeliveryParts({
      crashes: this.#serving.crashes,
      self: settings.node.id,
      failureDomain: settings.node.failure_domain,
      clock: this.clock,
      log: this.log,
      channels: this.#channels,
      nodes: () => this.directory.vms.filter((vm) => vm.role.kind === "entry"),
      router: this.router,
      observer: this.observer,
      work: this.work,
    });
    this.telemetry = new NodeTelemetry(this, {
      requests: this.observer,
      activity: new ControlledEngines(() => this.router.controllers),
      channels: this.#channels,
    });
    this.#peerServer = new PeerServer([
      createGenerationService({ router: this.router, clock, work: this.work }),
      this.delivery.registration,
      this.telemetry.registration,
      this.#spread.registration,
      createClusterService((message) => {
        this.#cluster.receive(message);
      }),
      ...this.#serving.registrations,
    ]);
    this.drain = makeDrain({
      settings,
      work: this.work,
      cluster: this.#cluster,
      clock,
      loggers,
    });
    this.#leavingEngines = new LeavingEngines({
      directory: this.directory,
      engines: this.router,
      engineClient: (vm) => this.#engineClient(engineId(vm.id), vm.address),
      logger: loggers.forComponent("serving"),
    });
    this.serviceDispatcher = new ServiceDispatcher({
      failureDomain: settings.node.failure_domain,
      client: this.services,
      directory: this.directory,
      configuration: this.follower.configuration,
      clock: this.clock,
      logger: loggers.forComponent("services"),
    });
    this.keyedExecution = this.delivery.execution;
    this.serviceDelivery = new ServiceDelivery(
      this.keyedExecution,
      this.serviceDispatcher,
    );
    this.addresses = makeAddresses({
      settings,
      directory: this.directory,
      cluster: this.#cluster,
      drain: this.drain,
      work: this.work,
      router: this.router,
      configuration: this.follower.configuration,
    });
  }

  /**
   * Starts all components.
   * @returns The addresses in use.
   */
  async start(): Promise<DaemonAddresses> {
    const { http, grpc } = this.settings.listen;
    const grpcPort = await this.#peerServer.listen(grpc);
    this.#application = await createHttpApplication(
      this,
      this.#loggers.forComponent("callers"),
    );
    await this.#application.listen(http.port, http.host);
    await this.directory.start();
    this.#cluster.start(`${grpc.host}:${grpcPort}`);
    this.#serving.start();
    void this.follower.run();
    this.telemetry.start();
    this.#snapshots.start();
    void this.#leavingEngines.run();
    const address = this.#application.getHttpServer().address() as AddressInfo;
    return {
      http: `${http.host}:${address.port}`,
      grpc: `${grpc.host}:${grpcPort}`,
    };
  }

  /**
   * Carries out a planned stop: removes the node from address answers, finishes
   * requests in progress and those that still arrive, and stops.
   * @returns The number of requests cut off; always 0 unless the operator has
   * limited the wait.
   */
  async stop(): Promise<number> {
    const cutOff = await this.drain.run();
    this.#stopped ??= this.#close(cutOff > 0);
    await this.#stopped;
    return cutOff;
  }

  async #close(isOverdue: boolean): Promise<void> {
    if (isOverdue) this.#cutConnections();
    await this.#application?.close();
    this.#spread.close();
    this.#serving.closeStreams();
    this.#peers.close();
    await Promise.race([
      this.#peerServer.close(),
      sleep(CONTROL_STREAM_CLOSE_MILLISECONDS),
    ]);
    this.#peerServer.abortConnections();
    this.#cluster.stop();
    this.follower.stop();
    this.telemetry.stop();
    this.#snapshots.stop();
    this.#leavingEngines.stop();
    this.directory.stop();
    this.#serving.stop();
    this.delivery.stop();
    this.#channels.close();
    await this.#dispatcher.destroy();
    await this.metrics.close();
  }

  override readonly peerStatuses = (nodes: readonly Vm[]) =>
    readClusterStatus(nodes, this.#channels);

  /** Ends requests in progress after the operator's maximum wait. */
  #cutConnections(): void {
    this.#application?.getHttpServer().closeAllConnections();
    this.#peerServer.abortConnections();
  }

  #engineClient(engine: EngineId, address: string): HttpEngineClient {
    return new HttpEngineClient({
      peer: engine,
      baseAddress: `http://${address}`,
      dispatcher: this.#dispatcher,
    });
  }
}
