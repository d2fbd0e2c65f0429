import {
  type EngineId,
  engineId,
  type RequestObserver,
  seconds,
  SilentObserver,
} from "@foxtailwind/core";
import {
  createDispatcher,
  HttpEngineClient,
  HttpLogClient,
  HttpServiceClient,
  HttpVmListClient,
  HttpWeightStoreClient,
} from "@foxtailwind/edges";
import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { ProcessClock } from "./clock/steady_clock.ts";
import {
  ClusterAssignment,
  ClusterHandOver,
  ClusterNode,
  ClusterOrderRight,
  ClusterPeerViews,
  clusterService,
  ClusterTransport,
} from "./cluster/mod.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { type KeyedExecution, ServiceDelivery } from "./delivery/mod.ts";
import { countCalls, Drain, WorkInProgress } from "./drain/mod.ts";
import { createHttpApplication } from "./http_application.ts";
import type { LoggerFactory } from "./logging/part_logger.ts";
import { generationService } from "./peers/generation_service.ts";
import { PeerChannels } from "./peers/peer_channels.ts";
import { PeerClients } from "./peers/peer_clients.ts";
import { PeerServer } from "./peers/peer_server.ts";
import { ConfigurationFollower } from "./platform/configuration_follower.ts";
import { VmDirectory } from "./platform/vm_directory.ts";
import { AdapterAggregates } from "./serving/adapter_aggregates.ts";
import { NodeLoadPermits } from "./serving/permits/node_load_permits.ts";
import { PermitService } from "./serving/permits/permit_service.ts";
import { SummaryService } from "./serving/summaries/summary_service.ts";
import {
  AddressDirectory,
  HashedControllers,
  OwnView,
  RefusingKeyedExecution,
  ServiceDispatcher,
} from "./routing/mod.ts";
import { GenerationRouter } from "./serving/generation_router.ts";
import type { Settings } from "./settings/settings.ts";

/** Where a daemon listens. */
export interface DaemonAddresses {
  readonly http: string;
  readonly grpc: string;
}

/** How long closing may take once an operator's bound has passed. */
const OVERDUE_CLOSE = 500;

/** Reads that take longer renew no lease. */
const MEMBERSHIP_LOG_TIMEOUT = 1_000;

/** One node: all its parts, started and stopped together. */
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
  override readonly observer: RequestObserver = new SilentObserver();
  override readonly router: GenerationRouter;
  readonly #channels = new PeerChannels();
  readonly #permits: NodeLoadPermits;
  readonly #permitService: PermitService;
  readonly #summaries = new SummaryService(() => this.router.controllers);
  readonly #cluster: ClusterNode;
  readonly #peerServer: PeerServer;
  readonly #dispatcher = createDispatcher();
  #application: NestFastifyApplication | undefined;
  #stopped: Promise<void> | undefined;

  constructor(settings: Settings, loggers: LoggerFactory) {
    super();
    this.settings = settings;
    const dispatcher = this.#dispatcher;
    this.log = new HttpLogClient({
      baseAddress: settings.platform.log,
      dispatcher,
      peer: "log",
    });
    this.services = new HttpServiceClient({ dispatcher });
    this.directory = new VmDirectory(
      new HttpVmListClient({
        baseAddress: settings.platform.vm_list,
        dispatcher,
        peer: "vm_list",
      }),
      loggers.forPart("membership"),
    );
    this.follower = new ConfigurationFollower(
      this.log,
      loggers.forPart("configuration"),
    );
    this.#cluster = this.#makeCluster(loggers);
    const aggregates = new AdapterAggregates();
    const serving = {
      self: settings.node.id,
      directory: this.directory,
      channels: this.#channels,
      clock: this.clock,
      logger: loggers.forPart("serving"),
    };
    this.#permits = new NodeLoadPermits({
      ...serving,
      store: settings.platform.weight_store_id,
      client: new HttpWeightStoreClient({
        baseAddress: settings.platform.weight_store,
        dispatcher,
        peer: settings.platform.weight_store_id,
      }),
      outlook: aggregates.loads,
    });
    this.#permitService = new PermitService(this.#permits);
    this.router = new GenerationRouter({
      ...serving,
      peers: new PeerClients(this.#channels),
      observer: this.observer,
      right: new ClusterOrderRight(this.#cluster),
      assignment: new ClusterAssignment(this.#cluster),
      permits: this.#permits,
      aggregates,
      engineClient: (vm) => this.#engineClient(engineId(vm.id), vm.address),
    });
    this.#peerServer = new PeerServer([
      countCalls(generationService(this.router, this.clock), this.work),
      clusterService((message) => {
        this.#cluster.receive(message);
      }),
      this.#permitService.registration,
      this.#summaries.registration,
    ]);
    this.drain = this.#makeDrain(loggers);
    this.serviceDispatcher = new ServiceDispatcher({
      failureDomain: settings.node.failure_domain,
      client: this.services,
      directory: this.directory,
      configuration: this.follower.configuration,
      clock: this.clock,
      logger: loggers.forPart("services"),
    });
    this.keyedExecution = new RefusingKeyedExecution();
    this.serviceDelivery = new ServiceDelivery(
      this.keyedExecution,
      this.serviceDispatcher,
    );
    this.addresses = this.#makeAddresses();
  }

  /**
   * Starts all parts.
   * @returns The addresses taken.
   */
  async start(): Promise<DaemonAddresses> {
    const { http, grpc } = this.settings.listen;
    const grpcPort = await this.#peerServer.listen(grpc);
    this.#application = await createHttpApplication(this);
    await this.#application.listen(http.port, http.host);
    await this.directory.start();
    this.#cluster.start(`${grpc.host}:${grpcPort}`);
    this.#permits.start();
    this.router.start();
    void this.follower.run();
    const address = this.#application.getHttpServer().address() as AddressInfo;
    return {
      http: `${http.host}:${address.port}`,
      grpc: `${grpc.host}:${grpcPort}`,
    };
  }

  /**
   * Carries out a planned stop: leaves the address answers, finishes what is
   * in progress and what still arrives, and stops.
   * @returns How many requests were cut off, which only a bound set by the
   * operator can make other than 0.
   */
  async stop(): Promise<number> {
    const cutOff = await this.drain.run();
    this.#stopped ??= this.#close(cutOff > 0);
    await this.#stopped;
    return cutOff;
  }

  async #close(isOverdue: boolean): Promise<void> {
    const closing = this.#closeServers();
    await (isOverdue ? Promise.race([closing, sleep(OVERDUE_CLOSE)]) : closing);
    this.#cluster.stop();
    this.directory.stop();
    this.follower.stop();
    this.router.stop();
    this.#permits.stop();
    this.#channels.close();
    await this.#dispatcher.destroy();
  }

  async #closeServers(): Promise<void> {
    await this.#application?.close();
    this.#summaries.close();
    this.#permitService.close();
    await this.#peerServer.close();
  }

  #makeCluster(loggers: LoggerFactory): ClusterNode {
    const { settings, clock, directory } = this;
    return new ClusterNode({
      node: settings.node,
      clock,
      directory,
      log: new HttpLogClient({
        baseAddress: settings.platform.log,
        dispatcher: this.#dispatcher,
        peer: "log",
        timeoutMilliseconds: MEMBERSHIP_LOG_TIMEOUT,
      }),
      transport: new ClusterTransport(this.#channels),
      logger: loggers.forPart("ownership"),
    });
  }

  #makeDrain(loggers: LoggerFactory): Drain {
    const { addresses, stop } = this.settings;
    const longestWait = stop.longest_wait_seconds;
    return new Drain({
      terms: {
        addressLifetime: seconds(addresses.lifetime_seconds),
        ...(longestWait !== undefined && { longestWait: seconds(longestWait) }),
      },
      work: this.work,
      handOver: new ClusterHandOver(this.#cluster),
      clock: this.clock,
      logger: loggers.forPart("daemon"),
    });
  }

  #makeAddresses(): AddressDirectory {
    const { settings, directory, follower } = this;
    return new AddressDirectory({
      directory,
      peers: new ClusterPeerViews(
        this.#cluster,
        new OwnView({
          self: settings.node.id,
          isLeaving: () => this.drain.isLeaving,
          load: () => this.work.count,
        }),
      ),
      controllers: new HashedControllers(directory, follower.configuration),
      longestLifetime: seconds(settings.addresses.lifetime_seconds),
    });
  }

  #engineClient(engine: EngineId, address: string): HttpEngineClient {
    return new HttpEngineClient({
      peer: engine,
      baseAddress: `http://${address}`,
      dispatcher: this.#dispatcher,
    });
  }
}
