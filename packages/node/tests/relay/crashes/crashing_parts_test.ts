import {
  backendServerId,
  contentDigest,
  instant,
  milliseconds,
  promptPartId,
  serviceId,
} from "@foxtailwind/core";
import { RequestContent } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { BusyServer } from "../helpers/busy_server.ts";
import { rawCall } from "../helpers/raw_call.ts";
import { PLAIN_SERVICE } from "../helpers/relay_routes.ts";
import {
  type RelayWorld,
  startWorld,
  succeed,
} from "../helpers/relay_world.ts";
import { CLOSE_DELIMITED_HEAD, serveRaw } from "../helpers/serve_raw.ts";

const HEAD = { method: "POST", url: "/", headers: { host: "one.example" } };
const POLL_MILLISECONDS = 5;
/** Longer than the delay after which a suspicion is settled. */
const SETTLED_MILLISECONDS = 400;
/** Longer than a part is not blamed yet. */
const BLAMED_MILLISECONDS = 600;

/** Returns the digests of the shared parts of a request to a service. */
function partDigestsOf(service = PLAIN_SERVICE, part = "p") {
  return new RequestContent(HEAD, undefined, {
    service,
    parts: [promptPartId(part)],
  }).partDigests;
}

/** Tells a node that a part has ended servers. */
function suspectPart(
  { knowledge }: RelayWorld,
  crashes: number,
  ranFor = 80,
): void {
  const [content = contentDigest("")] = partDigestsOf();
  for (let crash = 0; crash < crashes; crash += 1) {
    knowledge.suspicion({
      kind: "added",
      suspicion: {
        content,
        partPosition: 0,
        server: backendServerId(`gone-${crash}`),
        ranFor: milliseconds(ranFor),
      },
    });
  }
}

/** Returns what a node refuses by now. */
function quarantined({ knowledge }: RelayWorld): readonly string[] {
  const { quarantine } = knowledge.suspicionTracker;
  return [...quarantine.quarantinedContents(instant(performance.now()))];
}

test("a part is suspected at the service that it crashed, not at others", (t) => {
  const [digest] = partDigestsOf();
  t.regex(digest ?? "", /^part-p-[\w-]{8}$/);
  t.deepEqual(partDigestsOf(), [digest]);
  t.notDeepEqual(partDigestsOf(serviceId("other")), [digest]);
  t.notDeepEqual(partDigestsOf(PLAIN_SERVICE, "q"), [digest]);
});

test("requests with a refused part are refused as not run, others with the same own part aren't", async (t) => {
  const world = await startWorld(t);
  await world.addServer("s1", (request, response) => {
    request.resume();
    response.setHeader("x-id", String(request.headers["x-id"]));
    response.setHeader("x-seal", "s");
    response.end("served");
  });
  suspectPart(world, 3);
  await sleep(BLAMED_MILLISECONDS);
  const status = async (parts: string) =>
    (await world.call("/once/a", { headers: { "x-parts": parts } })).status;
  t.is(await status("p,own"), 503);
  t.is(await status("base,p,own"), 503);
  t.is(await status("base,p"), 200, "The last part is the request's own.");
  t.is(await status("base,q,own"), 200);
});

// Guards against requests that wait for a connection while their part is named.
test("a request whose part is blamed while it waits for a connection is not written", async (t) => {
  const world = await startWorld(t);
  suspectPart(world, 2);
  await sleep(BLAMED_MILLISECONDS);
  const server = await BusyServer.start(world);
  const queued = world.call("/patient/queued", {
    headers: { "x-parts": "p,own" },
  });
  await server.waitForQueued(world);
  suspectPart(world, 3);
  server.answerOne();
  t.is((await queued).status, 503);
  await server.answerAll();
  t.false(server.hasReceived("/patient/queued"));
});

// Guards against the end of a server that passes for the end of an answer.
for (
  const [name, body] of [
    ["before its first event", ""],
    ["inside an event", "id: 1\nda"],
  ] as const
) {
  test(`a stream that ends with its connection ${name} is broken, and suspect`, async (t) => {
    const world = await startWorld(t);
    await serveRaw(t, world, "s1", (socket) => {
      socket.end(`${
        CLOSE_DELIMITED_HEAD.replace(
          "\r\n\r\n",
          "\r\ncontent-type: text/event-stream\r\n\r\n",
        )
      }${body}`);
    });
    const answer = await rawCall(world.port, "/stream/a").ended;
    t.false(answer.looksComplete);
    t.is(world.outcomes.at(-1), "broken_stream");
    t.false(world.knowledge.suspicionTracker.quarantine.isEmpty);
  });
}

test("an answer that ends with its connection clears no content at once", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.end(`${CLOSE_DELIMITED_HEAD}whole`);
  });
  const content = new RequestContent(
    { ...HEAD, url: "/once/a" },
    undefined,
  ).digest;
  world.knowledge.suspicion({
    kind: "added",
    suspicion: {
      content,
      server: backendServerId("gone"),
      ranFor: milliseconds(80),
    },
  });
  await rawCall(world.port, "/once/a").ended;
  t.false(world.knowledge.suspicionTracker.quarantine.isEmpty);
});

test("an answer that ends with its connection is suspect if its server ended then", async (t) => {
  const world = await startWorld(t);
  let sockets: (() => void)[] = [];
  const listener = await serveRaw(t, world, "s1", (socket, request) => {
    const isUnmarked = request.includes("/once/unmarked");
    socket.write(
      isUnmarked
        ? `${CLOSE_DELIMITED_HEAD}so far`
        : "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 99\r\n\r\nso far",
    );
    sockets = [...sockets, () => {
      if (isUnmarked) socket.end();
      else socket.resetAndDestroy();
    }];
  });
  const calls = ["/once/unmarked", "/once/broken"].map((path) =>
    rawCall(world.port, path)
  );
  while (sockets.length < calls.length) await sleep(POLL_MILLISECONDS);
  await sleep(POLL_MILLISECONDS);
  listener.close();
  for (const end of sockets) end();
  await Promise.all(calls.map(({ ended }) => ended));
  await sleep(SETTLED_MILLISECONDS);
  const { quarantine } = world.knowledge.suspicionTracker;
  const hour = 60 * 60 * 1_000;
  const suspected = quarantine.expire(instant(performance.now() + hour));
  t.is(suspected.length, calls.length);
});

// Guards against a node that blames the parts which its requests share because
// it lost its connections to several servers.
test("calls that break at several servers at once are one crash to their parts", async (t) => {
  const world = await startWorld(t);
  const answers: (() => void)[] = [];
  const broken = new Set<string>();
  const servers = ["s1", "s2", "s3", "s4"];
  for (const server of servers) {
    await world.addServer(server, (request, response) => {
      request.resume();
      response.writeHead(200, { "x-id": "r1", "x-seal": "s" });
      response.write("id: 1\n\n");
      answers.push(() => {
        broken.add(server);
        world.endServer(server);
      });
    });
  }
  const headers = { "x-parts": "p,own" };
  const calls = servers.map((server) =>
    world.call("/stream/a", { headers, body: Buffer.from(server) })
  );
  while (answers.length < servers.length) await sleep(POLL_MILLISECONDS);
  await sleep(POLL_MILLISECONDS);
  for (const breakOff of answers) breakOff();
  await Promise.allSettled(calls);
  t.is(broken.size, servers.length);
  await sleep(SETTLED_MILLISECONDS + BLAMED_MILLISECONDS);
  const { quarantine } = world.knowledge.suspicionTracker;
  t.false(quarantine.isEmpty);
  t.deepEqual(quarantined(world), []);
});

test("a run that goes on clears its parts of earlier crashes", async (t) => {
  const world = await startWorld(t);
  await world.addServer("s1", (request, response) => {
    request.resume();
    response.writeHead(200, { "x-id": "r1", "x-seal": "s" });
    response.write("id: 1\n\n");
    setTimeout(() => response.end(), BLAMED_MILLISECONDS);
  });
  suspectPart(world, 2);
  const call = world.call("/stream/a", { headers: { "x-parts": "p,own" } });
  const { quarantine } = world.knowledge.suspicionTracker;
  while (!quarantine.isEmpty) await sleep(POLL_MILLISECONDS);
  t.is((await call).status, 200);
  suspectPart(world, 3);
  await sleep(BLAMED_MILLISECONDS);
  t.is(quarantined(world).length, 1, "It may come to crash servers later.");
});

/** Ranks requests that had got no answer as their server ended. */
const UNANSWERED_MILLISECONDS = 1_000;

// Guards against a sound part that many short answers have, refused for an hour
// since none of them lasts as long as it takes to clear it.
test("complete answers clear a part of unanswered requests before it is blamed", async (t) => {
  const world = await startWorld(t);
  await world.addServer("s1", (request, response) => {
    succeed(request.resume(), response, "served");
  });
  suspectPart(world, 2, UNANSWERED_MILLISECONDS);
  const headers = { "x-parts": "p,own" };
  t.is((await world.call("/once/a", { headers })).status, 200);
  await sleep(BLAMED_MILLISECONDS);
  t.true(world.knowledge.suspicionTracker.quarantine.isEmpty);
});

// Guards against the culprit that is cleared by its own answer.
test("a complete answer clears nothing if its server ends soon after", async (t) => {
  const world = await startWorld(t);
  await world.addServer("s1", (request, response) => {
    request.resume();
    if (request.url === "/stream/begun") {
      response.writeHead(200, { "x-id": "r1", "x-seal": "s" });
      response.write("id: 1\n\n");
    } else succeed(request, response, "served");
  });
  const begun = rawCall(world.port, "/stream/begun");
  await begun.received("id: 1");
  suspectPart(world, 2, UNANSWERED_MILLISECONDS);
  const headers = { "x-parts": "p,own" };
  t.is((await world.call("/once/a", { headers })).status, 200);
  await sleep(100);
  world.endServer("s1");
  await begun.ended;
  await sleep(2 * BLAMED_MILLISECONDS);
  const { quarantine } = world.knowledge.suspicionTracker;
  const hour = 60 * 60 * 1_000;
  const [part] = partDigestsOf();
  const suspected = quarantine.expire(instant(performance.now() + hour))
    .filter(({ content }) => content === part);
  t.is(suspected.length, 2);
});
