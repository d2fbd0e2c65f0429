import {
  type EngineId,
  engineId,
  fencingNumber,
  type RequestObserver,
  SilentObserver,
} from "@foxtailwind/core";
import {
  HttpEngineClient,
  HttpLogClient,
  HttpServiceClient,
  HttpVmListClient,
  HttpWeightStoreClient,
} from "@foxtailwind/edges";
import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { ProcessClock } from "./clock/steady_clock.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { createHttpApplication } from "./http_application.ts";
import type { LoggerFactory } from "./logging/part_logger.ts";
import { generationService } from "./peers/generation_service.ts";
import { PeerChannels } from "./peers/peer_channels.ts";
import { PeerClients } from "./peers/peer_clients.ts";
import { PeerServer } from "./peers/peer_server.ts";
import { ConfigurationFollower } from "./platform/configuration_follower.ts";
import { VmDirectory } from "./platform/vm_directory.ts";
import { AdapterAggregates } from "./serving/adapter_aggregates.ts";
import { ComputedAssignment } from "./serving/engine_assignment.ts";
import { ConstantOrderRight } from "./serving/order_right.ts";
import { NodeLoadPermits } from "./serving/permits/node_load_permits.ts";
import { permitService } from "./serving/permits/permit_service.ts";
import { summaryService } from "./serving/summaries/summary_service.ts";
import { GenerationRouter } from "./serving/generation_router.ts";
import type { Settings } from "./settings/settings.ts";

/** Where a daemon listens. */
export interface DaemonAddresses {
  readonly http: string;
  readonly grpc: string;
}

/** One node: all its parts, started and stopped together. */
export class Daemon extends DaemonParts {
  override readonly settings: Settings;
  override readonly clock = new ProcessClock();
  override readonly log: HttpLogClient;
  override readonly services: HttpServiceClient;
  override readonly directory: VmDirectory;
  override readonly follower: ConfigurationFollower;
  override readonly observer: RequestObserver = new SilentObserver();
  override readonly router: GenerationRouter;
  readonly #channels = new PeerChannels();
  readonly #permits: NodeLoadPermits;
  readonly #peerServer: PeerServer;
  readonly #dispatcher = new Agent({ connections: null, pipelining: 1 });
  #application: NestFastifyApplication | undefined;

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
    this.router = new GenerationRouter({
      ...serving,
      peers: new PeerClients(this.#channels),
      observer: this.observer,
      right: new ConstantOrderRight(fencingNumber(0)),
      assignment: new ComputedAssignment(this.directory),
      permits: this.#permits,
      aggregates,
      engineClient: (vm) => this.#engineClient(engineId(vm.id), vm.address),
    });
    this.#peerServer = new PeerServer([
      generationService(this.router, this.clock),
      permitService(this.#permits),
      summaryService(() => this.router.controllers),
    ]);
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
    this.#permits.start();
    this.router.start();
    void this.follower.run();
    const address = this.#application.getHttpServer().address() as AddressInfo;
    return {
      http: `${http.host}:${address.port}`,
      grpc: `${grpc.host}:${grpcPort}`,
    };
  }

  /** Stops taking work, finishes what is in progress, and stops. */
  async stop(): Promise<void> {
    await this.#application?.close();
    await this.#peerServer.close();
    this.directory.stop();
    this.follower.stop();
    this.router.stop();
    this.#permits.stop();
    this.#channels.close();
    await this.#dispatcher.destroy();
  }

  #engineClient(engine: EngineId, address: string): HttpEngineClient {
    return new HttpEngineClient({
      peer: engine,
      baseAddress: `http://${address}`,
      dispatcher: this.#dispatcher,
    });
  }
}
