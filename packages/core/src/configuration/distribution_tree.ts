import {
  type FailureDomainId,
  type NodeId,
  rendezvousOrder,
} from "../shared/mod.ts";

/** The maximum number of peers that a node forwards records to. */
export const DISTRIBUTION_FANOUT = 4;

/** A node that takes part in the distribution of records. */
export interface DistributionNode {
  readonly id: NodeId;
  readonly failureDomain: FailureDomainId;
}

/** A node's position in the distribution tree: where it gets its records. */
export interface DistributionPosition {
  /** Whether this node reads the log for its failure domain. */
  readonly readsLog: boolean;
  /** The peer to follow; undefined for the domain's reader. */
  readonly parent: NodeId | undefined;
  /** Fallback peers if neither the parent nor the log responds. */
  readonly fallbackPeers: readonly NodeId[];
  /** The number of hops from the domain's reader of the log. */
  readonly depth: number;
}

/**
 * Computes a node's position in the distribution tree of its failure domain.
 * Each node computes the tree on its own, without agreement: nodes with
 * different node lists merely read from different parents.
 * @param self The node.
 * @param nodes All live nodes, with or without this one.
 * @param fanout The maximum number of peers that each node serves.
 * @returns The position.
 */
export function distributionPosition(
  self: DistributionNode,
  nodes: readonly DistributionNode[],
  fanout: number = DISTRIBUTION_FANOUT,
): DistributionPosition {
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
  const otherReaders = readersOfOtherDomains(self, nodes);
  const sameDomain = order.filter((id) => id !== self.id && id !== parent);
  return {
    readsLog: index === 0,
    parent,
    fallbackPeers: index === 0
      ? [...otherReaders, ...sameDomain]
      : [...sameDomain, ...otherReaders],
    depth: depthOf(index, fanout),
  };
}

function readersOfOtherDomains(
  self: DistributionNode,
  nodes: readonly DistributionNode[],
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
  for (
    let ancestor = index;
    ancestor > 0;
    ancestor = Math.floor((ancestor - 1) / fanout)
  ) depth += 1;
  return depth;
}
