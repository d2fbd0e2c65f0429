import {
  elapsed,
  type FailureDomainId,
  type Instant,
  milliseconds,
  type NodeId,
  rendezvousScore,
} from "../shared/mod.ts";
import type { ExchangeNode } from "./exchange_partners.ts";

/** A candidate for serving callers. */
export interface ServingCandidate extends Omit<ExchangeNode, "isServing"> {
  /** The capacity of its VM, in processors. */
  readonly capacity: number;
  /** The share of the capacity in use, from 0 to 1. */
  readonly load: number;
}

/**
 * Up to this many nodes all serve: fewer would save too little for the risk.
 */
const MAXIMUM_ALL_SERVING_NODES = 12;
/** One node may stop while another one is lost, and a third still serves. */
const MINIMUM_NODES_PER_DOMAIN = 3;
/**
 * The mean share of their capacity that serving nodes use. It leaves room for
 * traffic to double before more of them are advertised to callers, and events
 * queue behind others and are late long before a node runs out of processor
 * time.
 */
const TARGET_LOAD = 0.25;
/** How long a node goes on serving after it was last required. */
const SERVING_RETENTION = milliseconds(15_000);

/**
 * The nodes that serve callers and own engines in a large cluster, while the
 * others stand by. Handles a steady load that is small compared to the number
 * of nodes, with bursts and losses of nodes: requests reach nodes that know the
 * engines and are connected to them, and the exchange between nodes grows with
 * the load and not with their number. Each node computes the set itself from
 * what all nodes report; while two nodes disagree, whichever is asked serves.
 */
export class ServingSet {
  readonly #neededAt = new Map<NodeId, Instant>();

  /**
   * Chooses the serving nodes: required nodes at once, and previously required
   * ones for a while longer.
   * @param now The present time.
   * @param candidates The nodes that are present, without those that are
   * leaving.
   * @returns The serving nodes.
   */
  choose(
    now: Instant,
    candidates: readonly ServingCandidate[],
  ): ReadonlySet<NodeId> {
    for (const id of requiredNodes(candidates)) this.#neededAt.set(id, now);
    for (const [id, neededAt] of this.#neededAt) {
      if (elapsed(neededAt, now) >= SERVING_RETENTION) {
        this.#neededAt.delete(id);
      }
    }
    const serving = candidates.filter(({ id }) => this.#neededAt.has(id));
    return new Set(serving.map(({ id }) => id));
  }
}

/**
 * Chooses the nodes that the load requires: in each failure domain the nodes of
 * the highest capacity, as many as carry the domain's total load at the target
 * load.
 * @param candidates The nodes that are present.
 * @returns The nodes.
 */
export function requiredNodes(
  candidates: readonly ServingCandidate[],
): readonly NodeId[] {
  if (candidates.length <= MAXIMUM_ALL_SERVING_NODES) {
    return candidates.map(({ id }) => id);
  }
  return [...groupByDomain(candidates).values()].flatMap(requiredInDomain);
}

/**
 * Chooses the nodes that may claim engines without an owner: those that serve
 * at any load. Engines stay with their owners, so nodes that serve only during
 * a load peak must not claim them.
 * @param candidates The nodes that are present.
 * @returns The nodes.
 */
export function ownerCandidates(
  candidates: readonly ServingCandidate[],
): readonly NodeId[] {
  return requiredNodes(candidates.map((one) => ({ ...one, load: 0 })));
}

/**
 * Checks whether an answer with addresses includes a node. Nodes of the highest
 * capacity are in all answers, others in a share of them proportional to their
 * capacity: callers connect to each address of an answer equally often. A node
 * always gives the same answer, since callers drop their connections to
 * addresses that an answer lacks.
 * @param answeringNode The node that answers.
 * @param node The node that may be included.
 * @param strongestCapacity The highest capacity of the nodes that may be
 * included.
 * @returns Whether it is included.
 */
export function isAdvertised(
  answeringNode: NodeId,
  node: Pick<ServingCandidate, "id" | "capacity">,
  strongestCapacity: number,
): boolean {
  return rendezvousScore(node.id, answeringNode) <
    node.capacity / strongestCapacity;
}

function requiredInDomain(
  nodes: readonly ServingCandidate[],
): readonly NodeId[] {
  const demand = nodes.reduce(
    (sum, { capacity, load }) => sum + capacity * load,
    0,
  );
  const strongestFirst = nodes.toSorted((left, right) =>
    right.capacity - left.capacity || (left.id < right.id ? -1 : 1)
  );
  let capacity = 0;
  const needed: NodeId[] = [];
  for (const node of strongestFirst) {
    const hasCapacity = capacity * TARGET_LOAD >= demand;
    if (needed.length >= MINIMUM_NODES_PER_DOMAIN && hasCapacity) break;
    needed.push(node.id);
    capacity += node.capacity;
  }
  return needed;
}

function groupByDomain(
  nodes: readonly ServingCandidate[],
): ReadonlyMap<FailureDomainId, readonly ServingCandidate[]> {
  const groups = new Map<FailureDomainId, ServingCandidate[]>();
  for (const node of nodes) {
    const group = groups.get(node.failureDomain) ?? [];
    group.push(node);
    groups.set(node.failureDomain, group);
  }
  return groups;
}
