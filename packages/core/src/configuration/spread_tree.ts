import {
  type FailureDomainId,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";

/** How many peers a node passes records on to. */
export const SPREAD_FANOUT = 4;

/** A node among which records are spread. */
export interface SpreadNode {
  readonly id: NodeId;
  readonly failureDomain: FailureDomainId;
}

/** Where a node takes its records from. */
export interface SpreadPlace {
  /** Whether this node reads the log for its failure domain. */
  readonly readsLog: boolean;
  /** The peer to follow; none for the domain's reader. */
  readonly parent: NodeId | undefined;
  /** Other peers to ask where neither the parent nor the log answers. */
  readonly others: readonly NodeId[];
  /** How many hops from the log's reader. */
  readonly depth: number;
}

/**
 * Places a node in the tree of its failure domain. The tree is computed, not
 * agreed on: nodes whose lists differ only read from another place.
 * @param self The node.
 * @param nodes All live nodes, this one included or not.
 * @param fanout How many peers each node serves.
 * @returns Where it takes records from.
 */
export function spreadPlace(
  self: SpreadNode,
  nodes: readonly SpreadNode[],
  fanout: number = SPREAD_FANOUT,
): SpreadPlace {
  const inDomain = nodes.filter((node) =>
    node.failureDomain === self.failureDomain && node.id !== self.id
  );
  const order = rendezvousOrder(
    `configuration/${self.failureDomain}`,
    [...inDomain.map((node) => node.id), self.id],
  );
  const index = order.indexOf(self.id);
  const parent = index === 0
    ? undefined
    : order[Math.floor((index - 1) / fanout)];
  const readers = readersOfOtherDomains(self, nodes);
  const near = order.filter((id) => id !== self.id && id !== parent);
  return {
    readsLog: index === 0,
    parent,
    others: index === 0 ? [...readers, ...near] : [...near, ...readers],
    depth: depthOf(index, fanout),
  };
}

function readersOfOtherDomains(
  self: SpreadNode,
  nodes: readonly SpreadNode[],
): readonly NodeId[] {
  const domains = new Map<FailureDomainId, NodeId[]>();
  for (const node of nodes) {
    if (node.failureDomain === self.failureDomain) continue;
    const ids = domains.get(node.failureDomain) ?? [];
    domains.set(node.failureDomain, [...ids, node.id]);
  }
  return [...domains].flatMap(([domain, ids]) =>
    rendezvousOrder(`configuration/${domain}`, ids).slice(0, 1)
  );
}

function depthOf(index: number, fanout: number): number {
  let depth = 0;
  for (let at = index; at > 0; at = Math.floor((at - 1) / fanout)) depth += 1;
  return depth;
}
