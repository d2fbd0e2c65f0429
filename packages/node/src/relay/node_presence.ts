import {
  type Duration,
  elapsed,
  type Instant,
  isAdvertised,
  milliseconds,
  nodeId,
  RecentKeys,
  type ServiceId,
} from "@foxtailwind/core";
import {
  type AccountUse,
  type EngineDigest,
  NodeDigest,
  type RetryUse,
  type ServerLimit,
} from "@foxtailwind/protocol";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import { encodeEngineStates, type RejectedEntry } from "./engine_states.ts";
import type { Knowledge } from "./knowledge.ts";
import type { RelaySettings } from "./relay_settings.ts";
import { decodeCapacity } from "./node_load.ts";
import type { PlannedStop } from "./relay_stop.ts";
import type { ServingNodes } from "./serving_nodes.ts";
import { StateSequence } from "./state_sequence.ts";
import type { NodeRecord } from "./shared_log.ts";

/** Nodes heard of within this time share limits, even if silent now. */
const NODE_RETENTION = milliseconds(20_000);
/**
 * Nodes heard of within this time share the retry reserve: one that is cut off
 * from its peers for longer than other limits allow for keeps its part.
 */
const RESERVE_RETENTION = milliseconds(60_000);

/** The maximum number of rejected entries that are logged only once. */
const MAXIMUM_REJECTED_ENTRIES = 1_000;

/** The dependencies of {@link NodePresence}. */
export interface NodePresenceParts {
  readonly settings: RelaySettings;
  readonly knowledge: Knowledge;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  /** Identifies the run of this process. */
  readonly incarnation: string;
  /** Digests of the engines that this node owns. */
  readonly engines: () => readonly EngineDigest[];
  /** What this node has used of the accounts' quotas. */
  readonly accounts: () => readonly AccountUse[];
  /** What this node has used of the retry budgets. */
  readonly retries: (now: Instant) => readonly RetryUse[];
  /** Whether this run is older than the window of the retry budgets. */
  readonly isEstablished: (now: Instant) => boolean;
  readonly serving: ServingNodes;
  /** The interval between two exchanges that this node begins. */
  readonly exchangePeriodMilliseconds: () => number;
  /** The server rate limits that this node has observed itself. */
  readonly limits: () => readonly ServerLimit[];
  /** The services of which this node reaches no server. */
  readonly unreachedServices: () => readonly ServiceId[];
}

/** The ports that a node listens on. */
export interface NodePorts {
  readonly peers: number;
  readonly callers: number;
}

/** Describes this node to its peers, and counts and lists the other nodes. */
export class NodePresence {
  readonly #parts: NodePresenceParts;
  readonly #lastHeardAt = new Map<string, Instant>();
  readonly #nodeSequence = new StateSequence();
  readonly #engineSequence = new StateSequence();
  readonly #rejectedEntries = new RecentKeys(MAXIMUM_REJECTED_ENTRIES);
  #ports: NodePorts | undefined;
  /** The stop in progress, if this node is stopping. */
  plannedStop: PlannedStop | undefined;

  /** @param parts The dependencies. */
  constructor(parts: NodePresenceParts) {
    this.#parts = parts;
  }

  /** Whether this node is stopping. */
  get isLeaving(): boolean {
    return this.plannedStop !== undefined;
  }

  /** Whether this node accepts callers. */
  get isReady(): boolean {
    return this.#ports !== undefined && !this.isLeaving &&
      this.#parts.knowledge.routes !== undefined;
  }

  /** The address at which callers reach this node, once it listens. */
  get callerAddress(): string {
    const { callers } = this.#parts.settings.listen;
    return `${callers.host}:${this.#ports?.callers ?? callers.port}`;
  }

  /** The record of this node for the shared log. */
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

  /** The digest of this node for its peers. */
  get digest(): NodeDigest {
    const now = this.#parts.clock.now();
    const unnumbered = this.#createDigest(now);
    const { states, bytes } = encodeEngineStates({
      engines: [...this.#parts.engines()],
      accounts: [...this.#parts.accounts()],
      retries: [...this.#parts.retries(now)],
    }, (entry) => {
      this.#recordRejected(entry);
    });
    return {
      ...unnumbered,
      sequence: this.#nodeSequence.numberOf(
        now,
        NodeDigest.encode(unnumbered).finish(),
      ),
      engineStates: {
        ...states,
        sequence: this.#engineSequence.numberOf(now, bytes),
      },
    };
  }

  /** Logs an entry once, since a digest is created for each exchange. */
  #recordRejected({ kind, id, detail }: RejectedEntry): void {
    const { knowledge, logger } = this.#parts;
    knowledge.workCounts.increment("digest_entry_rejected");
    const key = `${kind} ${id}`;
    if (this.#rejectedEntries.has(key)) return;
    this.#rejectedEntries.add(key);
    logger.error("An entry of the digest can't be encoded.", {
      kind,
      id,
      detail,
    });
  }

  #createDigest(now: Instant): NodeDigest {
    const {
      knowledge,
      serving,
      exchangePeriodMilliseconds,
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
      sequence: 0,
      reachesLog: knowledge.isLogReachable(now),
      capacity,
      load: serving.load,
      periodMilliseconds: exchangePeriodMilliseconds(),
      limits: [...limits()],
      isEstablished: this.#parts.isEstablished(now),
      unreachedServices: [...this.#parts.unreachedServices()],
    };
  }

  /**
   * Records the ports that the node listens on.
   * @param ports The ports.
   */
  recordPorts(ports: NodePorts): void {
    this.#ports = ports;
  }

  /**
   * Records which nodes are present.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    for (const { id } of this.#parts.knowledge.peers.presentNodes(now)) {
      this.#lastHeardAt.set(id, now);
    }
  }

  /**
   * Counts the nodes that share limits, including this node. Nodes that the log
   * names count before they are heard; otherwise a node that starts together
   * with many others would use the whole of a limit by itself.
   * @param now The present time.
   * @returns The count.
   */
  countNodes(now: Instant): number {
    return this.#countHeardWithin(now, NODE_RETENTION);
  }

  /**
   * Counts the nodes that share the retry reserve, including this node.
   * @param now The present time.
   * @returns The count, and whether it can't lack a node: until it has read the
   * log, a node that starts while its peers are cut off knows of none.
   */
  countReserveNodes(
    now: Instant,
  ): { readonly nodes: number; readonly isComplete: boolean } {
    return {
      nodes: this.#countHeardWithin(now, RESERVE_RETENTION),
      isComplete: this.#parts.knowledge.hasReadLog,
    };
  }

  #reachesAnyService({ unreachedServices }: NodeDigest): boolean {
    const services = this.#parts.knowledge.routes?.configuration.services ?? [];
    return services.length === 0 ||
      services.some(({ id }) => !unreachedServices.includes(id));
  }

  #countHeardWithin(now: Instant, retention: Duration): number {
    this.refresh(now);
    let count = 1;
    for (const heardAt of this.#lastHeardAt.values()) {
      if (elapsed(heardAt, now) < retention) count += 1;
    }
    return count;
  }

  /**
   * Lists the addresses that callers may connect to: those of serving nodes, if
   * there are any. Nodes that reach no service are left out as long as others
   * reach one.
   * @param failureDomain The callers' failure domain; if several of its nodes
   * accept callers, only those are listed.
   * @returns The addresses of nodes that accept callers.
   */
  callerAddresses(failureDomain: string | undefined): readonly string[] {
    const { knowledge, clock, serving, settings } = this.#parts;
    const peers = knowledge.peers.alive(clock.now());
    const ready = [this.digest, ...peers].filter((digest) =>
      digest.isReady && !digest.isLeaving
    );
    const connected = ready.filter((digest) => this.#reachesAnyService(digest));
    const able = connected.length > 0 ? connected : ready;
    const local = able.filter((digest) =>
      digest.failureDomain === failureDomain
    );
    const eligible = local.length > 1 ? local : able;
    const servingNodes = eligible.filter((digest) =>
      serving.has(nodeId(digest.node))
    );
    if (servingNodes.length === 0) {
      return eligible.map((digest) => digest.callerAddress);
    }
    const strongest = Math.max(
      ...servingNodes.map((digest) => digest.capacity),
    );
    return servingNodes.filter((digest) =>
      isAdvertised(settings.node.id, {
        id: nodeId(digest.node),
        capacity: decodeCapacity(digest.capacity),
      }, decodeCapacity(strongest))
    ).map((digest) => digest.callerAddress);
  }
}
