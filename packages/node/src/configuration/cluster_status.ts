import type { Vm } from "@foxtailwind/edges";
import { ConfigurationClient, type StatusAnswer } from "@foxtailwind/protocol";
import { credentials, Metadata } from "@grpc/grpc-js";
import type { PeerChannels } from "../peers/peer_channels.ts";

const STATUS_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_CONCURRENT_REQUESTS = 64;

/** The configuration status of one node, or that it did not answer. */
export type NodeStatus =
  | { readonly kind: "answered"; readonly status: StatusAnswer }
  | { readonly kind: "unreachable"; readonly node: string };

/**
 * Reads the configuration status of nodes.
 * @param nodes The nodes.
 * @param channels The connections to peers.
 * @returns One entry for each node, in the same order.
 */
export async function readClusterStatus(
  nodes: readonly Vm[],
  channels: PeerChannels,
): Promise<readonly NodeStatus[]> {
  const statuses: NodeStatus[] = [];
  for (let from = 0; from < nodes.length; from += MAXIMUM_CONCURRENT_REQUESTS) {
    const batch = nodes.slice(from, from + MAXIMUM_CONCURRENT_REQUESTS);
    statuses.push(
      ...await Promise.all(batch.map((node) => readNodeStatus(node, channels))),
    );
  }
  return statuses;
}

function readNodeStatus(node: Vm, channels: PeerChannels): Promise<NodeStatus> {
  const address = node.peerAddress ?? node.address;
  const client = new ConfigurationClient(
    address,
    credentials.createInsecure(),
    { channelOverride: channels.getChannel(address) },
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
