import {
  elapsed,
  type FailureDomainId,
  type Instant,
  milliseconds,
  type NodeId,
  rendezvousScore,
} from "../shared/mod.ts";
import type { ExchangeNode } from "./exchange_partners.ts";

/** A node as far as its choice for serving goes. */
export interface ServingCandidate extends Omit<ExchangeNode, "isServing"> {
  /** What its VM can do, in processors. */
  readonly capacity: number;
  /** The share of that which is in use, from 0 to 1. */
  readonly load: number;
}

/** Up to so many nodes all serve: what is saved then is less than the risk. */
const MOST_ALL_SERVING = 12;
/** Any one may stop while another is lost, and a third still serves. */
const LEAST_A_DOMAIN = 3;
/**
 * The share of their capacity that serving nodes use in the mean. Traffic may
 * double before more of them are told to callers, and events that wait behind
 * others' are late long before a node has no time left.
 */
const WANTED_LOAD = 0.25;
/** A node serves for so long after it was last needed. */
const LINGERING = milliseconds(15_000);

/**
 * The nodes that take callers and own engines in a large system, the others
 * standing by. Answers a steady load that is small beside the number of nodes,
 * with bursts and losses of nodes: requests meet nodes that know the engines
 * and have connections to them, and what nodes tell each other grows with the
 * load and not with their number. Each node works the set out for itself from
 * what all tell; where two differ for a moment, whoever is asked serves.
 */
export class ServingSet {
  readonly #neededAt = new Map<NodeId, Instant>();

  /**
   * Chooses the nodes that serve: at once whoever is needed, and for a while
   * longer whoever was.
   * @param now The present time.
   * @param candidates The nodes that are there, none of which leaves.
   * @returns The nodes that serve.
   */
  choose(
    now: Instant,
    candidates: readonly ServingCandidate[],
  ): ReadonlySet<NodeId> {
    for (const id of neededNodes(candidates)) this.#neededAt.set(id, now);
    for (const [id, neededAt] of this.#neededAt) {
      if (elapsed(neededAt, now) >= LINGERING) this.#neededAt.delete(id);
    }
    const there = candidates.filter(({ id }) => this.#neededAt.has(id));
    return new Set(there.map(({ id }) => id));
  }
}

/**
 * Chooses the nodes that a load needs: of each failure domain the strongest
 * ones, as many as carry what its nodes do together at the wanted load.
 * @param candidates The nodes that are there.
 * @returns The nodes.
 */
export function neededNodes(
  candidates: readonly ServingCandidate[],
): readonly NodeId[] {
  if (candidates.length <= MOST_ALL_SERVING) {
    return candidates.map(({ id }) => id);
  }
  return [...groupByDomain(candidates).values()].flatMap(neededInDomain);
}

/**
 * Chooses the nodes that take engines without an owner: those that serve
 * whatever the load. Engines stay with their owners, so that what a load of a
 * moment adds to the serving nodes must not decide on them.
 * @param candidates The nodes that are there.
 * @returns The nodes.
 */
export function owningNodes(
  candidates: readonly ServingCandidate[],
): readonly NodeId[] {
  return neededNodes(candidates.map((one) => ({ ...one, load: 0 })));
}

/**
 * Tells whether an answer with addresses names a node. The strongest are in all
 * answers, a weaker one in as many as it is weaker: callers connect to each
 * address of an answer equally often. What one node answers stays the same,
 * since callers drop their connections to addresses that an answer lacks.
 * @param answering The node that answers.
 * @param node The node that may be named.
 * @param strongest The capacity of the strongest node that may be named.
 * @returns Whether it is.
 */
export function isNamedToCallers(
  answering: NodeId,
  node: Pick<ServingCandidate, "id" | "capacity">,
  strongest: number,
): boolean {
  return rendezvousScore(node.id, answering) < node.capacity / strongest;
}

function neededInDomain(
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
    const isEnough = capacity * WANTED_LOAD >= demand;
    if (needed.length >= LEAST_A_DOMAIN && isEnough) break;
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
