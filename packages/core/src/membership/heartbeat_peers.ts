import { rendezvousOrder } from "../shared/rendezvous.ts";
import type { FailureDomainId } from "../shared/mod.ts";
import type { Member } from "./member.ts";

/** The number of neighbours on each side in the failure domain's ring. */
const RING_NEIGHBOURS_PER_SIDE = 2;
/** The number of nodes per failure domain that link to other domains. */
const LINK_NODES_PER_DOMAIN = 2;

/**
 * Selects the peers that a node exchanges heartbeats with: its neighbours on
 * the ring of its failure domain and, if it is one of the domain's link nodes,
 * the link nodes of the other domains. The relation is symmetric, and the
 * number of peers does not grow with the number of nodes.
 * @param members The members of the view.
 * @param self The node whose peers to select.
 * @returns The peers.
 */
export function heartbeatPeers(
  members: readonly Member[],
  self: Member,
): readonly Member[] {
  const domains = groupByDomain(members);
  const ownDomain = domains.get(self.failureDomain) ?? [];
  const peers = new Map(
    ringPeers(ownDomain, self).map((peer) => [peer.node, peer]),
  );
  const isLink = linkNodes(ownDomain).some((peer) => peer.node === self.node);
  if (isLink) {
    for (const [domain, nodes] of domains) {
      if (domain === self.failureDomain) continue;
      for (const peer of linkNodes(nodes)) peers.set(peer.node, peer);
    }
  }
  return [...peers.values()];
}

function groupByDomain(
  members: readonly Member[],
): ReadonlyMap<FailureDomainId, Member[]> {
  const domains = new Map<FailureDomainId, Member[]>();
  for (const member of members) {
    const domain = domains.get(member.failureDomain);
    if (domain === undefined) domains.set(member.failureDomain, [member]);
    else domain.push(member);
  }
  return domains;
}

function ringPeers(
  ownDomain: readonly Member[],
  self: Member,
): readonly Member[] {
  const ring = [...ownDomain].sort((left, right) =>
    left.node < right.node ? -1 : 1
  );
  const position = ring.findIndex((peer) => peer.node === self.node);
  if (position < 0) return ring.slice(0, RING_NEIGHBOURS_PER_SIDE);
  const peers = new Map<string, Member>();
  for (let distance = 1; distance <= RING_NEIGHBOURS_PER_SIDE; distance += 1) {
    for (const index of [position + distance, position - distance]) {
      const peer =
        ring[(index + ring.length * RING_NEIGHBOURS_PER_SIDE) % ring.length];
      if (peer !== undefined && peer.node !== self.node) {
        peers.set(peer.node, peer);
      }
    }
  }
  return [...peers.values()];
}

function linkNodes(members: readonly Member[]): readonly Member[] {
  const order = rendezvousOrder("link", members.map((member) => member.node))
    .slice(0, LINK_NODES_PER_DOMAIN);
  return members.filter((member) => order.includes(member.node));
}
