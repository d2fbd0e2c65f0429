import {
  backendServerId,
  instant,
  logOffset,
  nodeId,
  requestId,
  serverStart,
  softwareVersion,
  type StreamOrigin,
} from "@foxtailwind/core";
import {
  STAND_IN_ENGINE_SERVICE,
  standInRegistryEntry,
  StandInStore,
} from "@foxtailwind/bench";
import { PeerChannels, PeerServer } from "@foxtailwind/node";
import {
  type OriginLookup,
  PeerDatagrams,
  PeerExchange,
  StreamDirectory,
} from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeRecord } from "../helpers/node_record.ts";
import { createRelayBase } from "../helpers/relay_base.ts";
import { createStreamParts } from "../helpers/stream_parts.ts";

const ATTEMPT = requestId("r1");
const POLL_MILLISECONDS = 5;
/** Within it, what a node sends has left it. */
const SENDING_MILLISECONDS = 100;
/** After it, a peer that nothing was heard of doesn't count as present. */
const SILENCE_MILLISECONDS = 2_000;
/** Tries to find what began a stream. */
const MAXIMUM_TRIES = 100;

/** A node with what it knows of streams, and the service that peers call. */
class StreamNode {
  readonly #base = createRelayBase({ part: "peers" });
  readonly #channels = new PeerChannels();
  readonly #datagrams = new PeerDatagrams();
  readonly #server: PeerServer;
  readonly streams: StreamDirectory;
  #address = "";
  #offset = 0;

  constructor(readonly id: string, store = new StandInStore()) {
    const { base, knowledge } = this.#base;
    const parts = {
      ...base,
      knowledge,
      channels: this.#channels,
      datagrams: this.#datagrams,
    };
    this.streams = new StreamDirectory({
      ...parts,
      ...createStreamParts(knowledge, base.clock, store),
    });
    const exchange = new PeerExchange({
      ...parts,
      owners: undefined as never,
      streams: this.streams,
      self: nodeRecord(id),
      digest: () => undefined as never,
    });
    this.#server = new PeerServer([exchange.registration]);
  }

  async listen(t: ExecutionContext): Promise<void> {
    const port = await this.#server.listen({ host: "127.0.0.1", port: 0 });
    await this.#datagrams.listen({ host: "127.0.0.1", port });
    this.#address = `127.0.0.1:${port}`;
    t.teardown(() => {
      this.stop();
    });
  }

  stop(): void {
    this.#datagrams.close();
    this.#channels.close();
    this.#server.abortConnections();
  }

  /** Learns of another node. */
  meet(other: StreamNode): void {
    this.#base.knowledge.node({
      ...nodeRecord(other.id),
      id: nodeId(other.id),
      address: other.#address,
    });
  }

  /** Learns which software a start of the server "a" runs. */
  register(start: number, software: string): void {
    this.#offset += 1;
    this.#base.knowledge.registryEntry({
      kind: "present",
      offset: logOffset(this.#offset),
      server: standInRegistryEntry({
        id: "a",
        start: serverStart(start),
        software,
        service: STAND_IN_ENGINE_SERVICE,
        address: "127.0.0.1:1",
      }),
    });
  }

  /** Records that the server "a" began a stream with software 1. */
  begin(): StreamOrigin {
    const origin = {
      attempt: ATTEMPT,
      service: STAND_IN_ENGINE_SERVICE,
      software: softwareVersion("1"),
      server: backendServerId("a"),
      begunAt: instant(this.#base.base.clock.now()),
    };
    this.streams.record(origin);
    return origin;
  }

  async find() {
    return await this.streams.find(ATTEMPT);
  }
}

async function startNodes(t: ExecutionContext, count: number) {
  const nodes = Array.from(
    { length: count },
    (_, index) => new StreamNode(`peer-${index}`),
  );
  for (const node of nodes) await node.listen(t);
  for (const node of nodes) {
    for (const other of nodes) if (other !== node) node.meet(other);
  }
  const [first, second, third] = nodes;
  if (first === undefined || second === undefined || third === undefined) {
    throw new RangeError("There are too few nodes.");
  }
  return { first, second, third };
}

/** Asks until a peer answers; on a busy machine, the first call may time out. */
async function findUntilAnswered(node: StreamNode): Promise<OriginLookup> {
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    const lookup = await node.find();
    if (lookup.kind !== "unknown") return lookup;
    await sleep(POLL_MILLISECONDS);
  }
  return { kind: "unknown" };
}

// Guards against streams that can't go on because the node that forwarded their
// first event was killed.
test("what began a stream is known after the node that forwarded its first event is gone", async (t) => {
  const { first, second, third } = await startNodes(t, 3);
  const { software } = first.begin();
  await sleep(SENDING_MILLISECONDS);
  first.stop();
  const late = new StreamNode("peer-late");
  await late.listen(t);
  for (const node of [first, second, third]) late.meet(node);
  const lookup = await findUntilAnswered(late);
  t.is(lookup.kind === "known" && lookup.origin.software, software);
});

// Guards against streams that can't go on at a node that was cut off from its
// peers until it hears of them again.
test("a node that has heard of no peer for a while asks those that it knew", async (t) => {
  const { first, second } = await startNodes(t, 3);
  const late = new StreamNode("peer-late");
  await late.listen(t);
  for (const node of [first, second]) late.meet(node);
  const { software } = first.begin();
  await sleep(SILENCE_MILLISECONDS);
  const lookup = await findUntilAnswered(late);
  t.is(lookup.kind === "known" && lookup.origin.software, software);
});

test("a stream that no node knows is unknown, and that is soon known", async (t) => {
  const { first, second } = await startNodes(t, 3);
  second.stop();
  const before = performance.now();
  t.deepEqual(await first.find(), { kind: "unknown" });
  t.true(performance.now() - before < 1_000);
});

// Guards against a stream that is filed under the software that the registry
// names, by a node that hasn't heard of the restart.
test("a peer that knows of a restart with other software leaves the origin uncertain", async (t) => {
  const { first, second, third } = await startNodes(t, 3);
  for (const node of [first, second, third]) node.register(1, "1");
  first.begin();
  await findUntilAnswered(second);
  for (const node of [first, second, third]) node.register(2, "2");
  const late = new StreamNode("peer-late");
  await late.listen(t);
  late.meet(second);
  late.register(1, "1");
  t.deepEqual(await findUntilAnswered(late), { kind: "uncertain" });
});
