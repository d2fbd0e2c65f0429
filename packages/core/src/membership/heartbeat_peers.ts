import { rendezvousOrder } from "../shared/rendezvous.ts";
import type { FailureDomainId } from "../shared/mod.ts";
import type { Member } from "./member.ts";

/** Neighbours on each side of a node on its failure domain's ring. */
const RING_REACH = 2;
/** Nodes of a failure domain that keep links to the other domains. */
const LINK_NODES = 2;

/**
 * Chooses whom a node exchanges heartbeats with: neighbours on a ring inside
 * its failure domain and, where it is one of the domain's link nodes, the link
 * nodes of the other domains. The relation is symmetric, and its size does not
 * grow with the number of nodes.
 * @param members The members of the view.
 * @param self The node that asks.
 * @returns The peers.
 */
export function heartbeatPeers(
  members: readonly Member[],
  self: Member,
): readonly Member[] {
  const domains = groupByDomain(members);
  const home = domains.get(self.failureDomain) ?? [];
  const peers = new Map(ringPeers(home, self).map((one) => [one.node, one]));
  const isLink = linkNodes(home).some((one) => one.node === self.node);
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

function ringPeers(home: readonly Member[], self: Member): readonly Member[] {
  const ring = [...home].sort((left, right) => left.node < right.node ? -1 : 1);
  const position = ring.findIndex((one) => one.node === self.node);
  if (position < 0) return ring.slice(0, RING_REACH);
  const peers = new Map<string, Member>();
  for (let step = 1; step <= RING_REACH; step += 1) {
    for (const index of [position + step, position - step]) {
      const peer = ring[(index + ring.length * RING_REACH) % ring.length];
      if (peer !== undefined && peer.node !== self.node) {
        peers.set(peer.node, peer);
      }
    }
  }
  return [...peers.values()];
}

function linkNodes(members: readonly Member[]): readonly Member[] {
  const order = rendezvousOrder("link", members.map((one) => one.node))
    .slice(0, LINK_NODES);
  return members.filter((one) => order.includes(one.node));
}
