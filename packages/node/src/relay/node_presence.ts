import {
  elapsed,
  type Instant,
  isAdvertised,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import {
  type EngineDigest,
  EngineStates,
  NodeDigest,
  type ServerLimit,
} from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { decodeCapacity } from "./node_load.ts";
import type { PlannedStop } from "./relay_stop.ts";
import type { ServingNodes } from "./serving_nodes.ts";
import { StateSequence } from "./state_sequence.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Nodes heard of in this time share limits, even if silent now. */
const NODE_RETENTION = milliseconds(20_000);

/** What a node's presence is made of. */
export interface NodePresenceParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  /** The run of this process. */
  readonly incarnation: string;
  /** What others are told of this node's engines. */
  readonly engines: () => readonly EngineDigest[];
  readonly serving: ServingNodes;
  /** Between two exchanges that this node begins, in milliseconds. */
  readonly exchangePeriodMilliseconds: () => number;
  /** The limits of servers that this node has seen itself. */
  readonly limits: () => readonly ServerLimit[];
}

/** The ports that a node has taken. */
export interface NodePorts {
  readonly peers: number;
  readonly callers: number;
}

/** What a node says of itself, and which nodes it knows beside itself. */
export class NodePresence {
  readonly #parts: NodePresenceParts;
  readonly #lastHeardAt = new Map<string, Instant>();
  readonly #nodeSequence = new StateSequence();
  readonly #engineSequence = new StateSequence();
  #ports: NodePorts | undefined;
  /** The stop in progress, if this node is stopping. */
  plannedStop: PlannedStop | undefined;

  /** @param parts What it is made of. */
  constructor(parts: NodePresenceParts) {
    this.#parts = parts;
  }

  /** Whether this node is stopping. */
  get isLeaving(): boolean {
    return this.plannedStop !== undefined;
  }

  /** Whether this node takes callers. */
  get isReady(): boolean {
    return this.#ports !== undefined && !this.isLeaving &&
      this.#parts.knowledge.routes !== undefined;
  }

  /** Where callers reach this node, once it listens. */
  get callerAddress(): string {
    const { callers } = this.#parts.settings.listen;
    return `${callers.host}:${this.#ports?.callers ?? callers.port}`;
  }

  /** Where other nodes reach this one, as the log has it. */
  get record(): NodeRecord {
    const { settings, incarnation } = this.#parts;
    const { peers } = settings.listen;
    return {
      id: settings.node.id,
      incarnation,
      address: `${peers.host}:${this.#ports?.peers ?? peers.port}`,
      failureDomain: settings.node.failure_domain,
      capacity: this.#parts.serving.capacity,
    };
  }

  /** What other nodes are told of this one. */
  get digest(): NodeDigest {
    const now = this.#parts.clock.now();
    const unnumbered = this.#createDigest(now);
    const engines = [...this.#parts.engines()];
    return {
      ...unnumbered,
      sequence: this.#nodeSequence.numberOf(
        now,
        NodeDigest.encode(unnumbered).finish(),
      ),
      engineStates: {
        engines,
        sequence: this.#engineSequence.numberOf(
          now,
          EngineStates.encode({ engines, sequence: 0 }).finish(),
        ),
      },
    };
  }

  #createDigest(now: Instant): NodeDigest {
    const {
      knowledge,
      serving,
      exchangePeriodMilliseconds: exchangePeriod,
      limits,
    } = this.#parts;
    const { id, incarnation, address, failureDomain, capacity } = this.record;
    return {
      node: id,
      incarnation,
      address,
      callerAddress: this.callerAddress,
      failureDomain,
      isReady: this.isReady,
      isLeaving: this.isLeaving,
      engineStates: undefined,
      operatorsEnd: knowledge.operatorsEnd,
      registryEnd: knowledge.registry.changedAt,
      sequence: 0,
      reachesLog: knowledge.isInContact(now),
      capacity,
      load: serving.load,
      periodMilliseconds: exchangePeriod(),
      limits: [...limits()],
    };
  }

  /**
   * Takes note that the node listens.
   * @param ports The ports taken.
   */
  recordPorts(ports: NodePorts): void {
    this.#ports = ports;
  }

  /**
   * Remembers the nodes that are there.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    for (const { id } of this.#parts.knowledge.peers.presentNodes(now)) {
      this.#lastHeardAt.set(id, now);
    }
  }

  /**
   * Counts the nodes that share limits, this one included. Nodes that the log
   * names count before they are heard: one that has just started with many
   * others would take all of a limit for its own.
   * @param now The present time.
   * @returns The count.
   */
  countNodes(now: Instant): number {
    this.refresh(now);
    let count = 1;
    for (const heardAt of this.#lastHeardAt.values()) {
      if (elapsed(heardAt, now) < NODE_RETENTION) count += 1;
    }
    return count;
  }

  /**
   * Lists where callers may connect: nodes that serve, where some do.
   * @param failureDomain The callers' failure domain; where several of its
   * nodes take callers, only they are named.
   * @returns The addresses of nodes that take callers.
   */
  callerAddresses(failureDomain: string | undefined): readonly string[] {
    const { knowledge, clock, serving, settings } = this.#parts;
    const peers = knowledge.peers.alive(clock.now());
    const ready = [this.digest, ...peers].filter((one) =>
      one.isReady && !one.isLeaving
    );
    const local = ready.filter((one) => one.failureDomain === failureDomain);
    const eligible = local.length > 1 ? local : ready;
    const chosen = eligible.filter((one) => serving.has(nodeId(one.node)));
    if (chosen.length === 0) return eligible.map((one) => one.callerAddress);
    const strongest = Math.max(...chosen.map((one) => one.capacity));
    return chosen.filter((one) =>
      isAdvertised(settings.node.id, {
        id: nodeId(one.node),
        capacity: decodeCapacity(one.capacity),
      }, decodeCapacity(strongest))
    ).map((one) => one.callerAddress);
  }
}
