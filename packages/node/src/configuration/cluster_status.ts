import type { Vm } from "@foxtailwind/edges";
import { ConfigurationClient, type StatusAnswer } from "@foxtailwind/protocol";
import { credentials, Metadata } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";

const STATUS_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_CONCURRENT_REQUESTS = 64;

/** What one node has in force, or that it did not answer. */
export type NodeStatus =
  | { readonly kind: "answered"; readonly status: StatusAnswer }
  | { readonly kind: "unreachable"; readonly node: string };

/**
 * Asks nodes what they have in force.
 * @param nodes The nodes.
 * @param channels The connections to peers.
 * @returns One entry for each node, in the same order.
 */
export async function readClusterStatus(
  nodes: readonly Vm[],
  channels: PeerChannels,
): Promise<readonly NodeStatus[]> {
  const found: NodeStatus[] = [];
  for (let from = 0; from < nodes.length; from += MAXIMUM_CONCURRENT_REQUESTS) {
    const some = nodes.slice(from, from + MAXIMUM_CONCURRENT_REQUESTS);
    found.push(
      ...await Promise.all(some.map((node) => readNodeStatus(node, channels))),
    );
  }
  return found;
}

function readNodeStatus(node: Vm, channels: PeerChannels): Promise<NodeStatus> {
  const address = node.peerAddress ?? node.address;
  const client = new ConfigurationClient(
    address,
    credentials.createInsecure(),
    { channelOverride: channels.channel(address) },
  );
  const deadline = Date.now() + STATUS_TIMEOUT_MILLISECONDS;
  return new Promise((resolve) => {
    client.status({}, new Metadata(), { deadline }, (error, status) => {
      resolve(
        error === null
          ? { kind: "answered", status }
          : { kind: "unreachable", node: node.id },
      );
    });
  });
}
