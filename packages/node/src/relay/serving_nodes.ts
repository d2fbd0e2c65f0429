import {
  elapsed,
  type FailureDomainId,
  type Instant,
  milliseconds,
  type NodeId,
  ownerCandidates,
  ServingSet,
} from "@foxtailwind/core";
import { capacityOf, NodeLoad, toldCapacity } from "./node_load.ts";
import type { PeerBook } from "./peer_book.ts";

/** A node that was asked by a caller places requests for so long after it. */
const ACTIVE_TIME = milliseconds(10_000);

/** What the choice of serving nodes works with. */
export interface ServingNodesParts {
  readonly self: NodeId;
  readonly failureDomain: FailureDomainId;
  /** What this node's VM can do, in processors. */
  readonly processors: number;
  readonly peers: PeerBook;
  /** Whether this node owns engines. */
  readonly ownsEngines: () => boolean;
  /** Whether this node is stopping. */
  readonly isLeaving: () => boolean;
  /** Called where this node begins to place requests. */
  readonly woken: () => void;
  /** The time of the node's start. */
  readonly startedAt: Instant;
}

/** Which nodes serve, as this one works it out, and whether it is one. */
export class ServingNodes {
  readonly #parts: ServingNodesParts;
  readonly #set = new ServingSet();
  readonly #load: NodeLoad;
  #serving: ReadonlySet<NodeId>;
  #owning: ReadonlySet<NodeId>;
  #askedAt: Instant | undefined;

  /** @param parts What it works with. */
  constructor(parts: ServingNodesParts) {
    this.#parts = parts;
    this.#load = new NodeLoad(parts.startedAt);
    this.#serving = new Set([parts.self]);
    this.#owning = this.#serving;
  }

  /** What this node's VM can do, as other nodes are told. */
  get capacity(): number {
    return toldCapacity(this.#parts.processors);
  }

  /** The share of it that is in use, as other nodes are told. */
  get load(): number {
    return this.#load.told;
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
    return this.#owning.has(node);
  }

  /**
   * Tells whether this node places requests, and so has to know the engines:
   * it serves, or owns engines, or callers hold on to its address.
   * @param now The present time.
   * @returns Whether it does.
   */
  isActive(now: Instant): boolean {
    return this.has(this.#parts.self) || this.#parts.ownsEngines() ||
      (this.#askedAt !== undefined &&
        elapsed(this.#askedAt, now) < ACTIVE_TIME);
  }

  /**
   * Takes note of a caller's request.
   * @param now The present time.
   * @returns Whether the node stood by until then.
   */
  asked(now: Instant): boolean {
    const wasActive = this.isActive(now);
    this.#askedAt = now;
    if (!wasActive) this.#parts.woken();
    return !wasActive;
  }

  /**
   * Works out anew who serves.
   * @param now The present time.
   */
  refresh(now: Instant): void {
    const { self, failureDomain, processors, peers } = this.#parts;
    this.#load.sample(now, this.#askedAt !== undefined);
    const others = peers.servingCandidates(now);
    const own = {
      id: self,
      failureDomain,
      capacity: capacityOf(toldCapacity(processors)),
      load: this.#load.share,
    };
    const wasActive = this.isActive(now);
    const candidates = this.#parts.isLeaving() ? others : [own, ...others];
    this.#serving = this.#set.choose(now, candidates);
    this.#owning = new Set(ownerCandidates(candidates));
    if (!wasActive && this.isActive(now)) this.#parts.woken();
  }
}
