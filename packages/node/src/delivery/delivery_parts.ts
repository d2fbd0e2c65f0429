import {
  DeliveryRules,
  type IncarnationId,
  incarnationId,
  type NodeId,
  type RequestObserver,
} from "@foxtailwind/core";
import type { LogClient, Vm } from "@foxtailwind/edges";
import { randomUUID } from "node:crypto";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { CrashMemory } from "../crashes/mod.ts";
import type { WorkInProgress } from "../drain/mod.ts";
import type { PeerChannels } from "../peers/peer_channels.ts";
import type { PeerRegistration } from "../peers/peer_server.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import { ClaimGatherer } from "./claim_gatherer.ts";
import { ClaimRouter } from "./claim_router.ts";
import { GenerationDelivery } from "./generation_delivery.ts";
import { NodeKeyedExecution } from "./node_keyed_execution.ts";
import { OutcomePeerClient } from "./outcome_peer_client.ts";
import { createOutcomeService } from "./outcome_service.ts";

/** The dependencies of {@link DeliveryParts}. */
export interface DeliveryPartsOptions {
  readonly self: NodeId;
  readonly failureDomain: string;
  /** Identifies this run of the process; each restart must use a new value. */
  readonly incarnation?: IncarnationId;
  readonly clock: SteadyClock;
  readonly log: LogClient;
  readonly channels: PeerChannels;
  /** Lists the currently known entry VMs, including leaving ones. */
  readonly nodes: () => readonly Vm[];
  readonly router: Pick<GenerationRouter, "route">;
  readonly observer: RequestObserver;
  readonly crashes: CrashMemory;
  /** Counts the requests of peers that are in progress here. */
  readonly work: WorkInProgress;
}

/** Creates the parts of a node that give each request exactly one outcome. */
export class DeliveryParts {
  readonly execution: NodeKeyedExecution;
  readonly generations: GenerationDelivery;
  readonly gatherer: ClaimGatherer;
  readonly registration: PeerRegistration;

  /** @param options The dependencies. */
  constructor(options: DeliveryPartsOptions) {
    const { self, clock, nodes, failureDomain } = options;
    const { router, observer, crashes } = options;
    const peers = new OutcomePeerClient(options.channels, nodes);
    this.gatherer = new ClaimGatherer(options.log, clock);
    this.execution = new NodeKeyedExecution({
      self,
      incarnation: options.incarnation ?? incarnationId(randomUUID()),
      clock,
      peers,
      claims: new ClaimRouter({
        self,
        failureDomain,
        nodes,
        gatherer: this.gatherer,
        peers,
      }),
      rules: new DeliveryRules(),
    });
    this.generations = new GenerationDelivery({
      router,
      clock,
      observer,
      crashes,
      execution: this.execution,
    });
    this.registration = createOutcomeService({
      execution: this.execution,
      gatherer: this.gatherer,
      work: options.work,
    });
  }

  /** Stops claiming keys. */
  stop(): void {
    this.gatherer.stop();
  }
}
