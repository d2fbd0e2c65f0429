import type {
  EngineController,
  NodeId,
  RequestObserver,
  WeightStoreId,
} from "@foxtailwind/core";
import type {
  EngineClient,
  LogClient,
  WeightStoreClient,
} from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { CrashMemory } from "../crashes/mod.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerClients } from "../peers/peer_clients.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import type { VmDirectory, VmOfRole } from "../platform/vm_directory.ts";
import { AdapterAggregates } from "./adapter_aggregates.ts";
import {
  type EngineAssignment,
  RendezvousAssignment,
} from "./engine_assignment.ts";
import { GenerationRouter } from "./generation_router.ts";
import type { OrderAuthorizer } from "./order_authorizer.ts";
import { NodeLoadPermits } from "./permits/node_load_permits.ts";
import { PermitService } from "./permits/permit_service.ts";
import { SummaryService } from "./summaries/summary_service.ts";

/** The dependencies of {@link ServingParts}. */
export interface ServingPartsOptions {
  readonly self: NodeId;
  readonly directory: VmDirectory;
  readonly peers: PeerClients;
  readonly channels: PeerChannels;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly observer: RequestObserver;
  readonly orderAuthorizer: OrderAuthorizer;
  /** Which node controls each engine; by default from the directory. */
  readonly assignment?: EngineAssignment;
  readonly store: WeightStoreId;
  readonly storeClient: WeightStoreClient;
  readonly engineClient: (vm: VmOfRole<"engine">) => EngineClient;
  readonly log: LogClient;
}

/** The components that serve adapters, started and stopped together. */
export class ServingParts {
  readonly crashes: CrashMemory;
  readonly router: GenerationRouter;
  readonly permits: NodeLoadPermits;
  readonly #permitService: PermitService;
  readonly #summaries: SummaryService;

  /** @param options The dependencies. */
  constructor(options: ServingPartsOptions) {
    const aggregates = new AdapterAggregates();
    this.crashes = new CrashMemory(options);
    this.permits = new NodeLoadPermits({
      ...options,
      client: options.storeClient,
      loadEstimates: aggregates.loads,
    });
    this.router = new GenerationRouter({
      ...options,
      assignment: options.assignment ??
        new RendezvousAssignment(options.directory),
      permits: this.permits,
      aggregates,
      crashes: this.crashes,
    });
    this.#permitService = new PermitService(this.permits);
    this.#summaries = new SummaryService(
      () => this.router.reachableControllers,
    );
  }

  /** The controllers of the engines that this node controls. */
  get controllers(): Iterable<EngineController> {
    return this.router.controllers;
  }

  /** The services that other nodes may call. */
  get registrations(): readonly PeerRegistration[] {
    return [this.#permitService.registration, this.#summaries.registration];
  }

  /** Starts requesting permits and watching engines. */
  start(): void {
    void this.crashes.run();
    this.permits.start();
    this.router.start();
  }

  /** Ends the streams of other nodes, so that the server can stop. */
  closeStreams(): void {
    this.#permitService.close();
    this.#summaries.close();
  }

  /** Stops all components. */
  stop(): void {
    this.router.stop();
    this.crashes.stop();
    this.permits.stop();
  }
}
