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
import { outcomeService } from "./outcome_service.ts";

/** What the delivery of a node is made of. */
export interface DeliveryPartsOptions {
  readonly self: NodeId;
  readonly failureDomain: string;
  /** This run of the process; a restart must give another one. */
  readonly incarnation?: IncarnationId;
  readonly clock: SteadyClock;
  readonly log: LogClient;
  readonly channels: PeerChannels;
  /** Lists the entry VMs known at present, the leaving ones included. */
  readonly nodes: () => readonly Vm[];
  readonly router: Pick<GenerationRouter, "route">;
  readonly observer: RequestObserver;
  readonly crashes: CrashMemory;
  /** Counts what peers have in progress here. */
  readonly work: WorkInProgress;
}

/** The parts of a node that bring requests to their only outcome. */
export class DeliveryParts {
  readonly execution: NodeKeyedExecution;
  readonly generations: GenerationDelivery;
  readonly gatherer: ClaimGatherer;
  readonly registration: PeerRegistration;

  /** @param sources What the parts are made of. */
  constructor(sources: DeliveryPartsOptions) {
    const { self, clock, nodes, failureDomain } = sources;
    const { router, observer, crashes } = sources;
    const peers = new OutcomePeerClient(sources.channels, nodes);
    this.gatherer = new ClaimGatherer(sources.log, clock);
    this.execution = new NodeKeyedExecution({
      self,
      incarnation: sources.incarnation ?? incarnationId(randomUUID()),
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
    this.registration = outcomeService({
      execution: this.execution,
      gatherer: this.gatherer,
      work: sources.work,
    });
  }

  /** Stops claiming keys. */
  stop(): void {
    this.gatherer.stop();
  }
}
