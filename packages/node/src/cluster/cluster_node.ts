import {
  ClusterAgent,
  type ClusterLogPage,
  type ClusterMessage,
  type ClusterRecord,
  type Contact,
  type ControlledEngine,
  DEFAULT_MEMBERSHIP_TIMING,
  DEFAULT_OWNERSHIP_TIMING,
  type EngineId,
  engineId,
  type Failure,
  type FencingNumber,
  formatClusterRecord,
  incarnationId,
  type Instant,
  type Member,
  MEMBERSHIP_STREAM,
  type NodeId,
  nodeId,
  type OutgoingMessage,
  StandardOwnershipRules,
} from "@foxtailwind/core";
import type { LogClient } from "@foxtailwind/edges";
import { randomUUID } from "node:crypto";
import { err, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { VmDirectory } from "../platform/vm_directory.ts";
import type { Settings } from "../settings/settings.ts";
import type { ClusterTransport } from "./cluster_transport.ts";
import { ClusterView } from "./cluster_view.ts";
import { MembershipLogReader } from "./membership_log_reader.ts";

const TICK_MILLISECONDS = 50;

/** The dependencies of {@link ClusterNode}. */
export interface ClusterNodeParts {
  readonly node: Settings["node"];
  readonly clock: SteadyClock;
  readonly log: LogClient;
  readonly transport: ClusterTransport;
  readonly directory: VmDirectory;
  readonly logger: ComponentLogger;
}

/** Runs the membership and ownership protocols of this node. */
export class ClusterNode extends ClusterView {
  readonly #parts: ClusterNodeParts;
  readonly #listeners: (() => void)[] = [];
  #joined: JoinedCluster | undefined;
  #lastDescription = "";

  /** @param parts The dependencies. */
  constructor(parts: ClusterNodeParts) {
    super();
    this.#parts = parts;
  }

  override get liveMembers(): readonly Member[] {
    return this.#joined?.agent.live ?? [];
  }

  /** The engines that this node controls or is about to control. */
  get controlledEngines(): readonly EngineId[] {
    return this.#joined?.agent.controlled ?? [];
  }

  override controllerOf(engine: EngineId): NodeId | undefined {
    const agent = this.#joined?.agent;
    const controller = agent?.tenureOf(engine)?.controller.node;
    if (agent === undefined || controller !== this.#parts.node.id) {
      return controller;
    }
    const isActive = agent.isActive(engine, this.#parts.clock.now());
    return isActive ? controller : undefined;
  }

  override authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure> {
    if (this.#joined === undefined) return err(notJoined(engine));
    return this.#joined.agent.authorizeOrder(engine, now);
  }

  override onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Joins the cluster.
   * @param address The address at which this node's gRPC server listens.
   */
  start(address: string): void {
    const agent = this.#makeAgent(address);
    const { log, clock, logger } = this.#parts;
    const reader = new MembershipLogReader({
      log,
      clock,
      logger,
      nextOffset: () => agent.nextOffset,
      onPage: (page) => {
        this.#onPage(page);
      },
    });
    const timer = setInterval(() => {
      void this.#tick();
    }, TICK_MILLISECONDS);
    this.#joined = { agent, reader, timer };
    void reader.run();
  }

  /** Stops taking part in the cluster. */
  stop(): void {
    clearInterval(this.#joined?.timer);
    this.#joined?.reader.stop();
  }

  /**
   * Announces that this node is leaving and starts handing its engines over.
   * @returns Whether all heartbeat peers confirmed the first announcement.
   */
  async leave(): Promise<boolean> {
    this.#joined?.agent.leave();
    const confirmations = await Promise.all(this.#tick());
    return confirmations.every(Boolean);
  }

  /**
   * Handles a message of another node.
   * @param message The message.
   */
  receive(message: ClusterMessage): void {
    const { clock } = this.#parts;
    const answers = this.#joined?.agent.receive(clock.now(), message) ?? [];
    void this.#send(answers);
  }

  #makeAgent(address: string): ClusterAgent {
    const { node, clock } = this.#parts;
    return new ClusterAgent({
      self: {
        node: node.id,
        incarnation: incarnationId(randomUUID()),
        generation: 0,
        region: node.region,
        failureDomain: node.failure_domain,
        weight: 1,
        address,
      },
      membershipTiming: DEFAULT_MEMBERSHIP_TIMING,
      ownershipTiming: DEFAULT_OWNERSHIP_TIMING,
      rules: new StandardOwnershipRules(),
      startedAt: clock.now(),
    });
  }

  #onPage(page: ClusterLogPage): void {
    this.#joined?.agent.onLogPage(this.#parts.clock.now(), page);
    this.#notifyChange();
  }

  #tick(): readonly Promise<boolean>[] {
    const agent = this.#joined?.agent;
    if (agent === undefined) return [];
    agent.setContacts(this.#contacts());
    const actions = agent.tick(this.#parts.clock.now(), this.#engines());
    for (const record of actions.appends) void this.#append(agent, record);
    this.#notifyChange();
    return this.#send(actions.messages);
  }

  #send(messages: readonly OutgoingMessage[]): readonly Promise<boolean>[] {
    return messages.map((message) => this.#parts.transport.send(message));
  }

  async #append(agent: ClusterAgent, record: ClusterRecord): Promise<void> {
    const { log, logger } = this.#parts;
    const text = formatClusterRecord(record);
    const result = await log.append(MEMBERSHIP_STREAM, [text]);
    if (result.isOk()) return;
    const { outcome, reason, peer, step } = result.error;
    logger.warn("Appending a membership record failed.", {
      peer,
      step,
      reason,
    });
    if (outcome === "not_run") agent.appendRejected(record.id);
  }

  #contacts(): readonly Contact[] {
    return this.#parts.directory.live("entry").flatMap((vm) =>
      vm.peerAddress === undefined
        ? []
        : [{ node: nodeId(vm.id), address: vm.peerAddress }]
    );
  }

  #engines(): readonly ControlledEngine[] {
    return this.#parts.directory.live("engine").map((vm) => ({
      engine: engineId(vm.id),
      failureDomain: vm.failureDomain,
      checksFencing: vm.role.checksFencing,
    }));
  }

  #notifyChange(): void {
    const description = this.#describeView();
    if (description === this.#lastDescription) return;
    this.#lastDescription = description;
    for (const listener of this.#listeners) listener();
  }

  #describeView(): string {
    const nodes = this.liveMembers.map((member) => member.node).join();
    const controllers = this.#engines().map(({ engine }) =>
      `${engine}=${this.controllerOf(engine) ?? ""}`
    );
    return `${nodes};${controllers.join()}`;
  }
}

interface JoinedCluster {
  readonly agent: ClusterAgent;
  readonly reader: MembershipLogReader;
  readonly timer: NodeJS.Timeout;
}

function notJoined(engine: EngineId): Failure {
  return {
    reason: "unavailable",
    step: "take_over",
    peer: engine,
    message: "This node has not joined the cluster.",
    outcome: "not_run",
  };
}
