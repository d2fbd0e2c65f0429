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

/** How long a node places requests after a caller's last request. */
const ACTIVE_TIME_AFTER_REQUEST = milliseconds(10_000);

/** The dependencies of {@link ServingNodes}. */
export interface ServingNodesParts {
  readonly self: NodeId;
  readonly failureDomain: FailureDomainId;
  /** The capacity of this node's VM, in processors. */
  readonly processors: number;
  readonly peers: PeerTable;
  /** Whether this node owns engines. */
  readonly ownsEngines: () => boolean;
  /** Whether this node is stopping. */
  readonly isLeaving: () => boolean;
  /** Called when this node begins to place requests. */
  readonly onActivated: () => void;
  /** When this node started. */
  readonly startedAt: Instant;
}

/** Determines which nodes serve, and whether this node places requests. */
export class ServingNodes {
  readonly #parts: ServingNodesParts;
  readonly #servingSet = new ServingSet();
  readonly #load: NodeLoad;
  #serving: ReadonlySet<NodeId>;
  #ownerCandidates: ReadonlySet<NodeId>;
  #lastRequestAt: Instant | undefined;

  /** @param parts The dependencies. */
  constructor(parts: ServingNodesParts) {
    this.#parts = parts;
    this.#load = new NodeLoad(parts.startedAt);
    this.#serving = new Set([parts.self]);
    this.#ownerCandidates = this.#serving;
  }

  /** The capacity of this node's VM, encoded for its peers. */
  get capacity(): number {
    return encodeCapacity(this.#parts.processors);
  }

  /** The share of that capacity in use, encoded for its peers. */
  get load(): number {
    return this.#load.encoded;
  }

  /** The number of nodes that serve. */
  get count(): number {
    return this.#serving.size;
  }

  /**
   * Determines whether a node serves.
   * @param node The node.
   * @returns Whether it serves.
   */
  has(node: NodeId): boolean {
    return this.#serving.has(node);
  }

  /**
   * Determines whether a node takes ownership of engines without an owner.
   * @param node The node.
   * @returns Whether it does.
   */
  takesEngines(node: NodeId): boolean {
    return this.#ownerCandidates.has(node);
  }

  /**
   * Determines whether this node places requests and so has to know the
   * engines: it serves, owns engines, or callers still use its address.
   * @param now The present time.
   * @returns Whether it places requests.
   */
  isActive(now: Instant): boolean {
    return this.has(this.#parts.self) || this.#parts.ownsEngines() ||
      (this.#lastRequestAt !== undefined &&
        elapsed(this.#lastRequestAt, now) < ACTIVE_TIME_AFTER_REQUEST);
  }

  /**
   * Records a caller's request.
   * @param now The present time.
   * @returns Whether the node was on standby until then.
   */
  recordRequest(now: Instant): boolean {
    const wasActive = this.isActive(now);
    this.#lastRequestAt = now;
    if (!wasActive) this.#parts.onActivated();
    return !wasActive;
  }

  /**
   * Recomputes which nodes serve.
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
