import {
  backendServerId,
  failureDomainId,
  instant,
  milliseconds,
  nodeId,
} from "@foxtailwind/core";
import { PeerChannels, PeerServer } from "@foxtailwind/node";
import {
  type Knowledge,
  PeerDatagrams,
  PeerExchange,
  StreamDirectory,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeDigest } from "../helpers/node_digest.ts";
import { addRegistryEntry, createRelayBase } from "../helpers/relay_base.ts";
import { createStreamParts } from "../helpers/stream_parts.ts";

const POLL_MILLISECONDS = 5;
/** Longer than the margin by which a proof is taken to be older. */
const PROOF_MILLISECONDS = 1_300;
const OWNERS = { refresh: () => undefined } as never;

/** A node that answers peers and asks them. */
class ExchangingNode {
  readonly #base = createRelayBase({ part: "peers" });
  readonly #channels = new PeerChannels();
  readonly #exchange: PeerExchange;
  readonly #server: PeerServer;
  incarnation = "run-1";
  address = "";

  constructor(readonly id: string) {
    const parts = {
      ...this.#base.base,
      knowledge: this.knowledge,
      channels: this.#channels,
    };
    this.#exchange = new PeerExchange({
      ...parts,
      owners: OWNERS,
      streams: new StreamDirectory({
        ...parts,
        ...createStreamParts(this.knowledge, parts.clock),
        datagrams: new PeerDatagrams(),
      }),
      self: { id: nodeId(id), failureDomain: failureDomainId("d") },
      digest: () => this.digest,
    });
    this.#server = new PeerServer([this.#exchange.registration]);
  }

  get knowledge(): Knowledge {
    return this.#base.knowledge;
  }

  get digest() {
    const { id, incarnation, address } = this;
    return nodeDigest(id, { incarnation, address });
  }

  get servers(): readonly string[] {
    return this.knowledge.registry.all.map(({ id }) => id);
  }

  async listen(t: ExecutionContext): Promise<this> {
    const port = await this.#server.listen({ host: "127.0.0.1", port: 0 });
    this.address = `127.0.0.1:${port}`;
    t.teardown(() => {
      this.#exchange.stop();
      this.#channels.close();
      this.#server.abortConnections();
    });
    return this;
  }

  enter(id: string, offset: number): void {
    const engine = backendServerId(id);
    addRegistryEntry(this.knowledge, { engine, start: 1, offset });
  }

  /** Exchanges with all known peers, and waits for the answers. */
  async exchange(): Promise<void> {
    this.#exchange.exchange();
    while (this.#exchange.isWaiting) await sleep(POLL_MILLISECONDS);
  }
}

async function startPair(t: ExecutionContext) {
  const asker = await new ExchangingNode("asker").listen(t);
  const peer = await new ExchangingNode("peer").listen(t);
  const now = asker.knowledge.proofs.now;
  asker.knowledge.peers.applyDigest(now, peer.digest);
  return { asker, peer };
}

test("an exchange brings the servers that have changed at the peer", async (t) => {
  const { asker, peer } = await startPair(t);
  peer.enter("a", 1);
  await asker.exchange();
  t.deepEqual(asker.servers, ["a"]);
  peer.enter("b", 2);
  await asker.exchange();
  t.deepEqual(asker.servers, ["a", "b"]);
});

test("an exchange doesn't bring again what it has brought", async (t) => {
  const { asker, peer } = await startPair(t);
  peer.enter("a", 1);
  await asker.exchange();
  asker.knowledge.registry.removeReplaced(backendServerId("a"));
  await asker.exchange();
  t.deepEqual(asker.servers, []);
});

// Guards against counts of an earlier run of a peer that are taken for those of
// its present run.
test("all servers come again from a peer that has restarted", async (t) => {
  const { asker, peer } = await startPair(t);
  for (const id of ["a", "b", "c"]) peer.enter(id, 1);
  await asker.exchange();
  asker.knowledge.registry.removeReplaced(backendServerId("a"));
  peer.incarnation = "run-2";
  await asker.exchange();
  t.deepEqual(asker.servers, ["b", "c", "a"]);
});

test("a peer's proof holds as of the question, less its age", async (t) => {
  const { asker, peer } = await startPair(t);
  const proofs = asker.knowledge.registryProofs;
  await asker.exchange();
  t.is(proofs.age, undefined, "The peer has no proof.");
  const readAt = instant(peer.knowledge.registryProofs.now - 700);
  peer.knowledge.registryRead(readAt);
  await asker.exchange();
  t.true(proofs.age !== undefined && proofs.age >= milliseconds(700));
});

// Guards against hubs that send the whole registry to all nodes that turn to
// them after their own hub was lost.
test("a new partner sends a node with a recent proof what has changed since, and the whole to one without", async (t) => {
  const { asker, peer } = await startPair(t);
  peer.enter("a", 1);
  await sleep(PROOF_MILLISECONDS);
  asker.knowledge.registryRead(asker.knowledge.registryProofs.now);
  peer.enter("b", 2);
  await asker.exchange();
  t.deepEqual(asker.servers, ["b"]);
  const { asker: newcomer, peer: other } = await startPair(t);
  for (const id of ["a", "b"]) other.enter(id, 1);
  await newcomer.exchange();
  t.deepEqual(newcomer.servers, ["a", "b"]);
});

// Guards against a node that counts as having the whole registry while it has a
// part of it.
test("a part of a large registry proves nothing, and the rest follows", async (t) => {
  const { asker, peer } = await startPair(t);
  const servers = 300;
  for (let id = 0; id < servers; id += 1) peer.enter(`s${id}`, id);
  peer.knowledge.registryRead(peer.knowledge.registryProofs.now);
  await asker.exchange();
  t.true(asker.servers.length > 0 && asker.servers.length < servers);
  t.is(asker.knowledge.registryProofs.age, undefined);
  await asker.exchange();
  t.is(asker.servers.length, servers);
  t.not(asker.knowledge.registryProofs.age, undefined);
});
