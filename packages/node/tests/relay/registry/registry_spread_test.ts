import { backendServerId, type NodeId, nodeId } from "@foxtailwind/core";
import {
  type Knowledge,
  PeerDatagrams,
  RegistrySpread,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { addRegistryEntry, createRelayBase } from "../helpers/relay_base.ts";

const HOST = "127.0.0.1";
const POLL_MILLISECONDS = 5;
/** Datagrams between sockets of this process have arrived after this time. */
const ARRIVAL_MILLISECONDS = 100;

/** A node that passes on changes of the registry. */
interface SpreadingNode {
  readonly id: NodeId;
  readonly knowledge: Knowledge;
  readonly address: string;
  hubs: readonly string[];
  members: readonly string[];
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function startNode(
  t: ExecutionContext,
  id: string,
): Promise<SpreadingNode> {
  const { knowledge } = createRelayBase({ part: "peers" });
  const datagrams = new PeerDatagrams();
  const port = await freePort();
  const node: SpreadingNode = {
    id: nodeId(id),
    knowledge,
    address: `${HOST}:${port}`,
    hubs: [],
    members: [],
  };
  const spread = new RegistrySpread({
    knowledge,
    datagrams,
    hubAddresses: () => node.hubs,
    memberAddresses: () => node.members,
  });
  knowledge.onRegistryChange = (servers, source) => {
    spread.recordChange(servers, source);
  };
  await datagrams.listen({ host: HOST, port });
  t.teardown(() => {
    spread.stop();
    datagrams.close();
  });
  return node;
}

/** Starts a node that reads the log, a hub, and a node that asks the hub. */
async function startTree(t: ExecutionContext) {
  const reader = await startNode(t, "reader");
  const hub = await startNode(t, "hub");
  const member = await startNode(t, "member");
  reader.hubs = [hub.address];
  hub.hubs = [reader.address];
  hub.members = [member.address];
  return { reader, hub, member };
}

function enter(
  node: SpreadingNode,
  entry: { readonly id: string; readonly offset: number; leaving?: boolean },
): void {
  addRegistryEntry(node.knowledge, {
    engine: backendServerId(entry.id),
    start: 1,
    offset: entry.offset,
    leaving: entry.leaving ?? false,
  });
}

function isLeaving(node: SpreadingNode, id: string): boolean {
  return node.knowledge.registry.find(backendServerId(id))?.leaving === true;
}

test("a departure that one node reads from the log reaches hubs and the nodes that ask them", async (t) => {
  const { reader, hub, member } = await startTree(t);
  for (const node of [reader, hub, member]) {
    enter(node, { id: "a", offset: 1 });
  }
  enter(reader, { id: "a", offset: 2, leaving: true });
  while (!isLeaving(member, "a")) await sleep(POLL_MILLISECONDS);
  t.true(isLeaving(hub, "a"));
});

test("what a hub hears of peers goes to the nodes that ask it alone, and once", async (t) => {
  const { reader, hub, member } = await startTree(t);
  enter(reader, { id: "a", offset: 1 });
  while (member.knowledge.registry.changeCount === 0) {
    await sleep(POLL_MILLISECONDS);
  }
  await sleep(ARRIVAL_MILLISECONDS);
  const sent = [reader, hub, member].map(({ knowledge }) =>
    knowledge.workCounts.counts.get("registry_sent") ?? 0
  );
  t.deepEqual(sent, [1, 1, 0]);
  t.is(reader.knowledge.workCounts.counts.get("registry_received"), undefined);
});

test("changes of many servers at once are sent in several datagrams", async (t) => {
  const { reader, hub } = await startTree(t);
  const count = 40;
  for (let id = 0; id < count; id += 1) {
    enter(reader, { id: `s${id}`, offset: id });
  }
  while (hub.knowledge.registry.all.length < count) {
    await sleep(POLL_MILLISECONDS);
  }
  const sent = reader.knowledge.workCounts.counts.get("registry_sent") ?? 0;
  t.true(sent > 1 && sent < count, `${sent} datagrams`);
});
