import { standInConfiguration } from "@foxtailwind/bench";
import { logOffset, type RelayConfiguration } from "@foxtailwind/core";
import { PeerChannels } from "@foxtailwind/node";
import { KnowledgeFetcher } from "@foxtailwind/node/relay";
import { RelayPeersClient } from "@foxtailwind/protocol";
import { PartitionableLink, SlowLink } from "@foxtailwind/standins";
import { credentials } from "@grpc/grpc-js";
import test, { type ExecutionContext } from "ava";
import { randomBytes } from "node:crypto";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeDigest } from "./helpers/node_digest.ts";
import { servePeers } from "./helpers/peer_node.ts";
import { createRelayBase } from "./helpers/relay_base.ts";

const VERSION = 7;
const OPERATORS_END = logOffset(9);
/** One megabit per second. */
const SLOW_BYTES_PER_SECOND = 125_000;

/** How often peers tell that they are alive. */
const DIGEST_PERIOD_MILLISECONDS = 300;
/** Longer than the time that a peer's first answer has. */
const LATE_MILLISECONDS = 450;

/** Creates a configuration of several hundred kilobytes. */
function largeConfiguration(): RelayConfiguration {
  const small = standInConfiguration(VERSION, 2);
  const routes = Array.from({ length: 600 }, () => {
    const name = randomBytes(6).toString("hex");
    const pathPrefix = `/${name}/`;
    return small.routes.map((route) => ({ ...route, name, pathPrefix }));
  });
  return { ...small, routes: routes.flat() };
}

/** Starts a node that has a large configuration, and returns its port. */
async function startInformedNode(t: ExecutionContext): Promise<number> {
  const { base, knowledge } = createRelayBase({ part: "peers" });
  knowledge.configuration(largeConfiguration());
  knowledge.operatorsTold(OPERATORS_END);
  const { port } = await servePeers(t, { base, knowledge, id: "informed" });
  return port;
}

/** Creates a node that fetches from peers, and lists those that it asks. */
function createBehindNode(t: ExecutionContext) {
  const { base, knowledge } = createRelayBase({ part: "peers" });
  const channels = new PeerChannels();
  const asked: string[] = [];
  const partners = new Set<string>();
  const fetcher = new KnowledgeFetcher({
    ...base,
    knowledge,
    client: (address) => {
      asked.push(address);
      return new RelayPeersClient(address, credentials.createInsecure(), {
        channelOverride: channels.getChannel(address),
      });
    },
    isPartner: (address) => partners.has(address),
  });
  t.teardown(() => {
    fetcher.stop();
    channels.close();
  });
  const addPeerAhead = (name: string, port: number) => {
    const address = `127.0.0.1:${port}`;
    const tell = () => {
      knowledge.peers.applyDigest(
        base.clock.now(),
        nodeDigest(name, { address, operatorsEnd: OPERATORS_END }),
      );
    };
    tell();
    const timer = setInterval(tell, DIGEST_PERIOD_MILLISECONDS);
    t.teardown(() => {
      clearInterval(timer);
    });
    return address;
  };
  return { knowledge, fetcher, asked, partners, addPeerAhead };
}

/** Delays all that a server sends; returns the port of the link to it. */
async function delayAnswers(t: ExecutionContext, port: number) {
  const link = createServer((client) => {
    const server = connect(port, "127.0.0.1");
    let delivered = Promise.resolve();
    server.on("data", (bytes) => {
      const due = sleep(LATE_MILLISECONDS);
      delivered = delivered.then(() => due).then(() => {
        client.write(bytes);
      });
    });
    for (const socket of [client, server]) {
      socket.on("error", () => undefined);
      t.teardown(() => {
        socket.destroy();
      });
    }
    client.pipe(server);
  });
  t.teardown(() => {
    link.close();
  });
  await new Promise<void>((resolve) => {
    link.listen(0, "127.0.0.1", resolve);
  });
  return (link.address() as AddressInfo).port;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

/**
 * Guards against a node on a narrow link that asks its peers for a large
 * configuration again and again, and gives each answer up halfway.
 */
test("a large configuration arrives over a slow link at the first attempt", async (t) => {
  const link = new SlowLink(await startInformedNode(t), SLOW_BYTES_PER_SECOND);
  t.teardown(() => {
    link.close();
  });
  const { knowledge, fetcher, asked, addPeerAhead } = createBehindNode(t);
  addPeerAhead("informed", await link.listen());
  fetcher.catchUpWithPeers();
  await waitUntil(() => knowledge.routes !== undefined || asked.length > 1);
  t.is(knowledge.routes?.configuration.version, VERSION);
  t.is(knowledge.operatorsEnd, OPERATORS_END);
  t.is(asked.length, 1);
});

test("a peer that becomes silent within its answer is given up, and another one asked", async (t) => {
  const link = new PartitionableLink(await startInformedNode(t));
  t.teardown(() => {
    link.close();
  });
  const { knowledge, fetcher, asked, addPeerAhead } = createBehindNode(t);
  const silent = addPeerAhead("silent", await link.listen());
  link.partition();
  fetcher.catchUpWithPeers();
  await waitUntil(() => asked.length > 0);
  addPeerAhead("informed", await startInformedNode(t));
  await waitUntil(() => knowledge.routes !== undefined);
  t.is(asked[0], silent);
  t.is(knowledge.routes?.configuration.version, VERSION);
});

// Guards against all nodes of a large cluster asking the first few that read a
// new configuration.
test("an exchange partner is asked rather than any node that is ahead", async (t) => {
  const { knowledge, fetcher, asked, partners, addPeerAhead } =
    createBehindNode(t);
  for (let other = 0; other < 30; other += 1) addPeerAhead(`a${other}`, 1);
  const partner = addPeerAhead("partner", await startInformedNode(t));
  partners.add(partner);
  fetcher.catchUpWithPeers();
  await waitUntil(() => knowledge.routes !== undefined);
  t.deepEqual(asked, [partner]);
});

test("another node is asked if no exchange partner is ahead", async (t) => {
  const { knowledge, fetcher, asked, addPeerAhead } = createBehindNode(t);
  const other = addPeerAhead("other", await startInformedNode(t));
  fetcher.catchUpWithPeers();
  await waitUntil(() => knowledge.routes !== undefined);
  t.deepEqual(asked, [other]);
});

// Guards against a node that gives up each answer of a busy peer before it
// begins.
test("a peer that begins to answer late is given more time after failures", async (t) => {
  const { knowledge, fetcher, asked, addPeerAhead } = createBehindNode(t);
  const port = await startInformedNode(t);
  addPeerAhead("busy", await delayAnswers(t, port));
  fetcher.catchUpWithPeers();
  await waitUntil(() => knowledge.routes !== undefined || asked.length > 6);
  t.is(knowledge.routes?.configuration.version, VERSION);
});
