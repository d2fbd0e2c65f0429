import { instant } from "@foxtailwind/core";
import { ProcessClock } from "@foxtailwind/node/relay";
import type { NodeDigest } from "@foxtailwind/protocol";
import test, { type ExecutionContext } from "ava";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeDigest } from "./helpers/node_digest.ts";
import { rawCall } from "./helpers/raw_call.ts";
import { type RelayWorld, startWorld, succeed } from "./helpers/relay_world.ts";

const POLL_MILLISECONDS = 10;
/** Loopback addresses at which nothing listens. */
const CLOSED_ADDRESS = "127.0.0.1:1";

/** Starts a node that doesn't reach its servers. */
async function startCutWorld(t: ExecutionContext): Promise<RelayWorld> {
  const world = await startWorld(t);
  world.reachesServices = false;
  return world;
}

function addPeer(
  world: RelayWorld,
  id: string,
  state: Partial<NodeDigest>,
): void {
  world.knowledge.peers.applyDigest(
    instant(new ProcessClock().now()),
    nodeDigest(id, state),
  );
}

/** Starts a peer that answers forwarded requests in some way. */
async function startPeer(
  t: ExecutionContext,
  world: RelayWorld,
  answer: RequestListener,
  { id = "n2", state = {} }: {
    readonly id?: string;
    /** What the peer says of itself. */
    readonly state?: Partial<NodeDigest>;
  } = {},
): Promise<void> {
  const server = createServer(answer);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  addPeer(world, id, { ...state, callerAddress: `127.0.0.1:${port}` });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MILLISECONDS);
}

test("a request is forwarded with its body and at most the time that it has left", async (t) => {
  const world = await startCutWorld(t);
  let patience = Number.NaN;
  await startPeer(t, world, (request, response) => {
    patience = Number(request.headers["x-patience"]);
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks).toString();
      succeed(request, response, `${request.url}: ${body}`);
    });
  });
  const { status, bytes } = await world.call("/once/a?b=c", {
    body: Buffer.from("text"),
    headers: { "x-patience": "1200" },
  });
  t.is(status, 200);
  t.is(bytes.toString(), "/once/a?b=c: text");
  t.true(patience > 0 && patience <= 1_200, `${patience}`);
  t.deepEqual(world.outcomes, ["forwarded"]);
});

// Guards against requests that nodes pass to each other in circles.
test("a request that a peer has forwarded is not forwarded again", async (t) => {
  const world = await startCutWorld(t);
  let arrivals = 0;
  await startPeer(t, world, (request, response) => {
    arrivals += 1;
    succeed(request, response, "");
  });
  const { status } = await world.call("/short/a", {
    headers: { "x-forwarded-by-peer": "1" },
  });
  t.is(status, 503);
  t.is(arrivals, 0);
});

test("a request is offered to another peer only if the first one took no connection", async (t) => {
  const world = await startCutWorld(t);
  addPeer(world, "n2", { callerAddress: CLOSED_ADDRESS });
  await startPeer(t, world, (request, response) => {
    succeed(request, response, "");
  }, { id: "n3" });
  for (let index = 0; index < 8; index += 1) {
    t.is((await world.call("/once/a")).status, 200);
  }
});

// Guards against a request that runs twice, at two peers.
test("a request whose peer breaks off is not sent to another one", async (t) => {
  const world = await startCutWorld(t);
  let arrivals = 0;
  const breakOff: RequestListener = (request) => {
    arrivals += 1;
    request.socket.destroy();
  };
  await startPeer(t, world, breakOff, { id: "n2" });
  await startPeer(t, world, breakOff, { id: "n3" });
  t.is((await world.call("/repeatable/a")).status, 502);
  t.is(arrivals, 1);
});

// Guards against requests that peers go on with after their callers have left.
test("a forwarded request ends at the peer when its caller leaves", async (t) => {
  const world = await startCutWorld(t);
  let hasArrived = false;
  let hasEnded = false;
  await startPeer(t, world, (request) => {
    hasArrived = true;
    request.socket.once("close", () => {
      hasEnded = true;
    });
  });
  const caller = new AbortController();
  const call = world.call("/patient/a", { signal: caller.signal });
  await waitUntil(() => hasArrived);
  caller.abort();
  await t.throwsAsync(call, { any: true });
  await waitUntil(() => hasEnded);
  t.deepEqual(world.outcomes, ["caller_left"]);
});

test("a forwarded request that its peer leaves unanswered gets a final answer", async (t) => {
  const world = await startCutWorld(t);
  let hasArrived = false;
  await startPeer(t, world, () => {
    hasArrived = true;
  });
  const { status } = await world.call("/once/a");
  t.true(hasArrived);
  t.is(status, 504);
});

test("a peer's answer that ends early doesn't look complete", async (t) => {
  const world = await startCutWorld(t);
  await startPeer(t, world, (request, response) => {
    response.write("half");
    setTimeout(() => request.socket.destroy(), POLL_MILLISECONDS);
  });
  const answer = await rawCall(world.port, "/once/a").ended;
  t.true(answer.bytes.includes("half"));
  t.false(answer.looksComplete);
});

test("a request that no peer takes is relayed by the node itself", async (t) => {
  const world = await startCutWorld(t);
  addPeer(world, "n2", { callerAddress: CLOSED_ADDRESS });
  await world.addServer("s1", (request, response) => {
    request.resume();
    succeed(request, response, "own");
  });
  const { status, bytes } = await world.call("/once/a");
  t.is(status, 200);
  t.is(bytes.toString(), "own");
});

const UNSUITABLE_PEERS: Readonly<Record<string, Partial<NodeDigest>>> = {
  "doesn't reach the service either": { unreachedServices: ["plain"] },
  "leaves": { isLeaving: true },
  "isn't ready": { isReady: false },
};

for (const [why, state] of Object.entries(UNSUITABLE_PEERS)) {
  // Guards against requests that are forwarded to peers that can't serve them.
  test(`a peer that ${why} is not asked`, async (t) => {
    const world = await startCutWorld(t);
    let arrivals = 0;
    await startPeer(t, world, (request, response) => {
      arrivals += 1;
      succeed(request, response, "peer");
    }, { state });
    await world.addServer("s1", (request, response) => {
      request.resume();
      succeed(request, response, "own");
    });
    t.is((await world.call("/once/a")).bytes.toString(), "own");
    t.is(arrivals, 0);
    t.deepEqual(world.outcomes, ["answered"]);
  });
}
