import {
  type FailureDomainId,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";

/** A node that may be asked what it knows of itself and of others. */
export interface ExchangeNode {
  readonly id: NodeId;
  readonly failureDomain: FailureDomainId;
  /** Whether it takes callers and owns engines, and so hears of all soonest. */
  readonly isServing: boolean;
}

/** Whom a node asks, and for what. */
export interface ExchangePartners {
  /** The nodes that are asked in each period. */
  readonly partners: readonly NodeId[];
  /** Whether they are asked of other nodes, too, and not of themselves alone. */
  readonly isRelayed: boolean;
  /** Whether this node is asked by others, and so has to know sooner. */
  readonly isHub: boolean;
}

/**
 * Up to so many nodes all ask all: each then makes 37 calls a second at 300 ms
 * a period, and hears of all at first hand. All calls grow with the square of
 * the nodes; 61 nodes would make 12,200 a second.
 */
const MOST_WITHOUT_HUBS = 12;
/**
 * So many nodes of each failure domain pass on what they hear. One of them
 * may be lost with another one stopping, and a third still answers.
 */
const HUBS_A_DOMAIN = 3;

/**
 * Chooses whom a node asks for the digests of all nodes, so that the calls
 * grow with the nodes and not with their square: in a large system each
 * failure domain has a few hubs, of the nodes that serve where there are such.
 * Each node asks one hub of its own domain, and hubs ask the others of their
 * domain and one of each other domain. News reach all in five periods at most.
 * At 61 nodes in three domains that is 88 calls a period in all, for 3,660
 * where all ask all.
 * @param self The node that asks.
 * @param others The nodes that are there, or may be.
 * @returns The nodes to ask.
 */
export function exchangePartners(
  self: ExchangeNode,
  others: readonly ExchangeNode[],
): ExchangePartners {
  if (others.length < MOST_WITHOUT_HUBS) {
    return {
      partners: others.map(({ id }) => id),
      isRelayed: false,
      isHub: false,
    };
  }
  const hubs = hubsByDomain([self, ...others]);
  const near = hubs.get(self.failureDomain) ?? [];
  const isHub = near.includes(self.id);
  if (!isHub) {
    return { partners: firstFor(self.id, near), isRelayed: true, isHub };
  }
  const partners = [...hubs].flatMap(([domain, ids]) =>
    domain === self.failureDomain
      ? ids.filter((id) => id !== self.id)
      : firstFor(self.id, ids)
  );
  return { partners, isRelayed: true, isHub };
}

/** Of each failure domain the first nodes by id, those that serve before others. */
function hubsByDomain(
  nodes: readonly ExchangeNode[],
): ReadonlyMap<FailureDomainId, readonly NodeId[]> {
  const domains = new Map<FailureDomainId, NodeId[]>();
  for (const { id, failureDomain } of nodes.toSorted(servingFirst)) {
    const ids = domains.get(failureDomain) ?? [];
    if (ids.length < HUBS_A_DOMAIN) ids.push(id);
    domains.set(failureDomain, ids);
  }
  return domains;
}

function servingFirst(left: ExchangeNode, right: ExchangeNode): number {
  if (left.isServing !== right.isServing) return left.isServing ? -1 : 1;
  return left.id < right.id ? -1 : 1;
}

/** The hub that a node asks among some: nodes spread over them. */
function firstFor(node: NodeId, hubs: readonly NodeId[]): readonly NodeId[] {
  return rendezvousOrder(node, hubs).slice(0, 1);
}
