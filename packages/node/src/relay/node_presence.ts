import { elapsed, type Instant, milliseconds } from "@foxtailwind/core";
import type { EngineDigest, NodeDigest } from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";
import type { PlannedStop } from "./relay_stop.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Nodes heard of in this time share limits, even if silent now. */
const NODE_MEMORY = milliseconds(20_000);

/** What a node's presence is made of. */
export interface NodePresenceParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  /** The run of this process. */
  readonly incarnation: string;
  /** What others are told of this node's engines. */
  readonly engines: () => readonly EngineDigest[];
}

/** The ports that a node has taken. */
export interface NodePorts {
  readonly peers: number;
  readonly callers: number;
}

/** What a node says of itself, and which nodes it knows beside itself. */
export class NodePresence {
  readonly #parts: NodePresenceParts;
  readonly #heardNodes = new Map<string, Instant>();
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
    };
  }

  /** What other nodes are told of this one. */
  get digest(): NodeDigest {
    const now = this.#parts.clock.now();
    const { id, incarnation, address, failureDomain } = this.record;
    return {
      node: id,
      incarnation,
      address,
      callerAddress: this.callerAddress,
      failureDomain,
      isReady: this.isReady,
      isLeaving: this.isLeaving,
      engines: [...this.#parts.engines()],
      operatorsEnd: this.#parts.knowledge.operatorsEnd,
      registryEnd: this.#parts.knowledge.registry.changedAt,
      sequence: Math.floor(now),
      reachesLog: this.#parts.knowledge.isInContact(now),
    };
  }

  /**
   * Takes note that the node listens.
   * @param ports The ports taken.
   */
  listening(ports: NodePorts): void {
    this.#ports = ports;
  }

  /**
   * Remembers the nodes that are there.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    for (const peer of this.#parts.knowledge.peers.alive(now)) {
      this.#heardNodes.set(peer.node, now);
    }
  }

  /**
   * Counts the nodes that share limits, this one included.
   * @param now The present time.
   * @returns The count.
   */
  countNodes(now: Instant): number {
    let count = 1;
    for (const heardAt of this.#heardNodes.values()) {
      if (elapsed(heardAt, now) < NODE_MEMORY) count += 1;
    }
    return count;
  }

  /**
   * Lists where callers may connect.
   * @param failureDomain The callers' failure domain; where several of its
   * nodes take callers, only they are named.
   * @returns The addresses of nodes that take callers.
   */
  addresses(failureDomain: string | undefined): readonly string[] {
    const peers = this.#parts.knowledge.peers.alive(this.#parts.clock.now());
    const ready = [this.digest, ...peers].filter((one) =>
      one.isReady && !one.isLeaving
    );
    const near = ready.filter((one) => one.failureDomain === failureDomain);
    const chosen = near.length > 1 ? near : ready;
    return chosen.map((one) => one.callerAddress);
  }
}
