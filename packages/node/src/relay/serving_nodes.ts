import {
  elapsed,
  type FailureDomainId,
  type Instant,
  milliseconds,
  type NodeId,
  ownerCandidates,
  ServingSet,
} from "@foxtailwind/core";
import { decodeCapacity, encodeCapacity, NodeLoad } from "./node_load.ts";
import type { PeerTable } from "./peer_table.ts";

/** A node that was asked by a caller places requests for so long after it. */
const ACTIVE_TIME_AFTER_REQUEST = milliseconds(10_000);

/** What the choice of serving nodes works with. */
export interface ServingNodesParts {
  readonly self: NodeId;
  readonly failureDomain: FailureDomainId;
  /** What this node's VM can do, in processors. */
  readonly processors: number;
  readonly peers: PeerTable;
  /** Whether this node owns engines. */
  readonly ownsEngines: () => boolean;
  /** Whether this node is stopping. */
  readonly isLeaving: () => boolean;
  /** Called where this node begins to place requests. */
  readonly onActivated: () => void;
  /** The time of the node's start. */
  readonly startedAt: Instant;
}

/** Which nodes serve, as this one works it out, and whether it is one. */
export class ServingNodes {
  readonly #parts: ServingNodesParts;
  readonly #servingSet = new ServingSet();
  readonly #load: NodeLoad;
  #serving: ReadonlySet<NodeId>;
  #ownerCandidates: ReadonlySet<NodeId>;
  #lastRequestAt: Instant | undefined;

  /** @param parts What it works with. */
  constructor(parts: ServingNodesParts) {
    this.#parts = parts;
    this.#load = new NodeLoad(parts.startedAt);
    this.#serving = new Set([parts.self]);
    this.#ownerCandidates = this.#serving;
  }

  /** What this node's VM can do, as other nodes are told. */
  get capacity(): number {
    return encodeCapacity(this.#parts.processors);
  }

  /** The share of it that is in use, as other nodes are told. */
  get load(): number {
    return this.#load.encoded;
  }

  /** How many nodes serve. */
  get count(): number {
    return this.#serving.size;
  }

  /**
   * Tells whether a node serves.
   * @param node The node.
   * @returns Whether it does.
   */
  has(node: NodeId): boolean {
    return this.#serving.has(node);
  }

  /**
   * Tells whether a node takes engines that have no owner.
   * @param node The node.
   * @returns Whether it does.
   */
  takesEngines(node: NodeId): boolean {
    return this.#ownerCandidates.has(node);
  }

  /**
   * Tells whether this node places requests, and so has to know the engines:
   * it serves, or owns engines, or callers hold on to its address.
   * @param now The present time.
   * @returns Whether it does.
   */
  isActive(now: Instant): boolean {
    return this.has(this.#parts.self) || this.#parts.ownsEngines() ||
      (this.#lastRequestAt !== undefined &&
        elapsed(this.#lastRequestAt, now) < ACTIVE_TIME_AFTER_REQUEST);
  }

  /**
   * Takes note of a caller's request.
   * @param now The present time.
   * @returns Whether the node stood by until then.
   */
  recordRequest(now: Instant): boolean {
    const wasActive = this.isActive(now);
    this.#lastRequestAt = now;
    if (!wasActive) this.#parts.onActivated();
    return !wasActive;
  }

  /**
   * Works out anew who serves.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    const { self, failureDomain, processors, peers } = this.#parts;
    this.#load.sample(now, this.#lastRequestAt !== undefined);
    const others = peers.servingCandidates(now);
    const own = {
      id: self,
      failureDomain,
      capacity: decodeCapacity(encodeCapacity(processors)),
      load: this.#load.share,
    };
    const wasActive = this.isActive(now);
    const candidates = this.#parts.isLeaving() ? others : [own, ...others];
    this.#serving = this.#servingSet.choose(now, candidates);
    this.#ownerCandidates = new Set(ownerCandidates(candidates));
    if (!wasActive && this.isActive(now)) this.#parts.onActivated();
  }
}
