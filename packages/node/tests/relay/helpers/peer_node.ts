import { failureDomainId, nodeId } from "@foxtailwind/core";
import { PeerChannels, PeerServer } from "@foxtailwind/node";
import {
  type EngineOwners,
  PeerDatagrams,
  PeerExchange,
  StreamDirectory,
} from "@foxtailwind/node/relay";
import type { ExecutionContext } from "ava";
import type { createRelayBase } from "./relay_base.ts";
import { createStreamParts } from "./stream_parts.ts";

/** A node whose peers are answered, and the engines that it owns, if any. */
export interface PeerNode extends ReturnType<typeof createRelayBase> {
  readonly id: string;
  readonly owners?: EngineOwners;
}

/**
 * Serves the peers of a node until the test ends.
 * @param t The test.
 * @param node The node.
 * @returns The server's port, and what a test may cut off.
 */
export async function servePeers(
  t: ExecutionContext,
  { base, knowledge, id, owners }: PeerNode,
) {
  const { clock, logger } = base;
  const channels = new PeerChannels();
  const datagrams = new PeerDatagrams();
  const exchange = new PeerExchange({
    knowledge,
    owners: owners ?? (undefined as never),
    channels,
    streams: new StreamDirectory({
      knowledge,
      channels,
      datagrams,
      clock,
      ...createStreamParts(knowledge, clock),
    }),
    clock,
    logger,
    self: { id: nodeId(id), failureDomain: failureDomainId("d") },
    digest: () => undefined as never,
  });
  const server = new PeerServer([exchange.registration]);
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  t.teardown(() => {
    channels.close();
    server.abortConnections();
  });
  return { port, server, channels };
}
