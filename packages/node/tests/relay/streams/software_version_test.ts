import {
  backendServerId,
  instant,
  requestId,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import { START_HEADER } from "@foxtailwind/bench";
import test, { type ExecutionContext } from "ava";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { PLAIN_SERVICE } from "../helpers/relay_routes.ts";
import { RelayWorld } from "../helpers/relay_world.ts";

const STREAMS = 12;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const SOFTWARE_BY_SERVER = { a: "1", b: "2", c: "1", d: "2" };

function beginStream(request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, {
    "x-id": String(request.headers["x-id"]),
    "x-seal": "s",
    "content-type": "text/event-stream",
  });
}

/** Writes the rest of a stream, or its first event and then breaks off. */
function answerBriefly(
  software: string,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  beginStream(request, response);
  if (request.headers["x-after"] ?? request.headers["x-last-event"]) {
    response.end(`id: 2\ndata: ${software}\n\n`);
    return;
  }
  response.write(`id: 1\ndata: ${software}\n\n`);
  setTimeout(() => response.destroy(), 10);
}

async function startMixed(
  t: ExecutionContext,
  servers: Readonly<Record<string, string>> = SOFTWARE_BY_SERVER,
  options: ConstructorParameters<typeof RelayWorld>[1] = {},
): Promise<RelayWorld> {
  const world = new RelayWorld(undefined, options);
  world.configure();
  for (const [id, software] of Object.entries(servers)) {
    await world.addServer(
      id,
      (request, response) => {
        answerBriefly(software, request, response);
      },
      PLAIN_SERVICE,
      software,
    );
  }
  return await world.start(t);
}

function softwareOf(bytes: Buffer): readonly (string | undefined)[] {
  const events = bytes.toString().matchAll(/data: (\S+)/g);
  return [...events].map(([, software]) => software);
}

/** Records at a node which software began a stream. */
function recordOrigin(
  world: RelayWorld,
  attempt: string,
  software: string,
  server = "gone",
): void {
  world.streams.record({
    attempt: requestId(attempt),
    service: PLAIN_SERVICE,
    software: softwareVersion(software),
    server: backendServerId(server),
    begunAt: instant(world.timeBefore(10)),
  });
}

async function resume(world: RelayWorld, headers: Record<string, string>) {
  const answer = await world.call("/resumable/a", {
    headers: { "x-id": "again", "x-last-event": "1", ...headers },
  });
  return { ...answer, software: softwareOf(answer.bytes) };
}

// Guards against streams that hold events of two software versions because a
// node resumes them at another server within one answer.
test("a broken stream goes on at a server of the same software version", async (t) => {
  const world = await startMixed(t);
  for (let index = 0; index < STREAMS; index += 1) {
    const { bytes } = await world.call("/resumable/a", {
      headers: { "x-id": `stream-${index}` },
    });
    const versions = softwareOf(bytes);
    t.is(versions.length, 2);
    t.is(versions[0], versions[1]);
  }
});

test("a stream that a caller resumes goes on at the software version that began it", async (t) => {
  const world = await startMixed(t);
  for (let index = 0; index < STREAMS; index += 1) {
    const software = index % 2 === 0 ? "1" : "2";
    recordOrigin(world, `r${index}`, software);
    const answer = await resume(world, { "x-resumes": `r${index}` });
    t.deepEqual(answer.software, [software]);
  }
});

test("further attempts to resume a stream name the first one and go on at its software", async (t) => {
  const world = await startMixed(t);
  recordOrigin(world, "r1", "2");
  for (let index = 0; index < STREAMS; index += 1) {
    const answer = await resume(world, {
      "x-id": `again-${index}`,
      "x-resumes": "r1",
    });
    t.deepEqual(answer.software, ["2"]);
  }
});

const UNKNOWN_ATTEMPTS = {
  unknown: { "x-resumes": "r1" },
  overlong: { "x-resumes": "r".repeat(1_000) },
  repeated: { "x-resumes": "r1, r1" },
  missing: {},
};

/** Resumes streams whose attempts no node knows, which is refused. */
async function refuseUnknown(
  t: ExecutionContext,
  world: RelayWorld,
): Promise<void> {
  for (const [name, headers] of Object.entries(UNKNOWN_ATTEMPTS)) {
    const before = performance.now();
    const { status } = await resume(world, headers);
    t.is(status, UNAVAILABLE, name);
    t.true(performance.now() - before < 500, name);
  }
  t.deepEqual(new Set(world.refusals), new Set(["unknown_stream"]));
}

// Guards against a guess: a node that knows one software version only doesn't
// know that there is no other, unless the log shows it.
test("a stream of unknown software is refused at once, as not run, while the log isn't read", async (t) => {
  const world = await startMixed(t, { a: "1", c: "1" });
  world.reachesLog = false;
  await refuseUnknown(t, world);
});

test("a stream of unknown software is refused at once, as not run, while the log may lack software", async (t) => {
  const options = { isRecordConfirmed: false };
  const world = await startMixed(t, { a: "1", c: "1" }, options);
  await refuseUnknown(t, world);
});

// Guards against streams joined from two versions, the servers of one of which
// left before their streams were resumed.
test("a stream of unknown software is refused at once, as not run, if servers that have left may have begun it", async (t) => {
  const world = await startMixed(t, { a: "1", c: "1" });
  const { knowledge } = world;
  const [route] = (knowledge.routes?.configuration.routes ?? [])
    .filter(({ resumable }) => resumable);
  knowledge.streamSourceStored({
    host: route?.host ?? "",
    pathPrefix: route?.pathPrefix ?? "",
    service: PLAIN_SERVICE,
    software: softwareVersion("2"),
  });
  await refuseUnknown(t, world);
});

// Guards against streams that nobody continues after all nodes were lost, though
// their software is the only one.
test("a stream whose attempt no node knows goes on at the only software", async (t) => {
  const world = await startMixed(t, { a: "1", c: "1" });
  for (const headers of Object.values(UNKNOWN_ATTEMPTS)) {
    t.deepEqual((await resume(world, headers)).software, ["1"]);
  }
  const lookup = await world.streams.find(requestId("r1"));
  t.is(lookup.kind === "known" && lookup.origin.software, softwareVersion("1"));
});

test("a caller that names no attempt is refused while several software versions serve", async (t) => {
  const world = await startMixed(t, { a: "1", b: "2" });
  t.is((await resume(world, {})).status, UNAVAILABLE);
  world.removeServer("b");
  t.is((await resume(world, {})).status, UNAVAILABLE, "It served lately.");
  t.deepEqual(new Set(world.refusals), new Set(["unknown_stream"]));
});

test("a caller that names no attempt is served by the only software version", async (t) => {
  const world = await startMixed(t, { a: "1", c: "1" });
  t.deepEqual((await resume(world, {})).software, ["1"]);
});

test("a caller that has received no event begins anew at any server", async (t) => {
  const world = await startMixed(t, { a: "1", c: "1" });
  const answer = await world.call("/resumable/a", {
    headers: { "x-id": "again", "x-resumes": "unknown" },
  });
  t.deepEqual(softwareOf(answer.bytes), ["1", "1"]);
});

test("a stream whose software is gone is refused at once, and goes on once it is back", async (t) => {
  const world = await startMixed(t, { a: "1", b: "2" });
  recordOrigin(world, "r1", "1");
  world.removeServer("a");
  const before = performance.now();
  const refused = await resume(world, { "x-resumes": "r1" });
  t.is(refused.status, UNAVAILABLE);
  t.true(performance.now() - before < 500);
  t.deepEqual(world.outcomes, ["no_same_software"]);
  world.restoreServer("a", "1");
  const answer = await resume(world, { "x-id": "r3", "x-resumes": "r1" });
  t.deepEqual(answer.software, ["1"]);
});

test("a stream whose route has moved to another service is refused", async (t) => {
  const world = await startMixed(t);
  world.streams.record({
    attempt: requestId("r1"),
    service: serviceId("other"),
    software: softwareVersion("1"),
    server: backendServerId("a"),
    begunAt: instant(0),
  });
  const { status } = await resume(world, { "x-resumes": "r1" });
  t.is(status, UNAVAILABLE);
  t.deepEqual(world.refusals, ["moved_stream"]);
});

// Guards against a stream that is filed under the software that the registry
// names, although the restarted server has already answered with another one.
test("a stream of a server that restarts with other software isn't resumed by guess", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.addServer(
    "a",
    (request, response) => {
      answerBriefly("2", request, response);
    },
    PLAIN_SERVICE,
    "1",
  );
  await world.addServer(
    "b",
    (request, response) => {
      answerBriefly("1", request, response);
    },
    PLAIN_SERVICE,
    "1",
  );
  world.registerStart("a", 1_000, "1");
  await world.start(t);
  recordOrigin(world, "r1", "1", "a");
  world.registerStart("a", 2_000, "2");
  const { status } = await resume(world, { "x-resumes": "r1" });
  t.is(status, UNAVAILABLE);
  t.deepEqual(world.refusals, ["uncertain_stream"]);
});

// Guards against streams of two software versions because a server has restarted
// with other software and the node hasn't heard of that.
for (
  const [name, headers] of [
    ["begins", {}],
    ["is resumed", { "x-resumes": "r1", "x-last-event": "1" }],
  ] as const
) {
  test(`a stream that ${name} is run by the known start of a server only`, async (t) => {
    const world = new RelayWorld();
    world.configure();
    const required: (string | string[] | undefined)[] = [];
    await world.addServer(
      "a",
      (request, response) => {
        const start = request.headers[START_HEADER];
        required.push(start);
        if (start === undefined || start === "2000") {
          answerBriefly("2", request, response);
          return;
        }
        const id = String(request.headers["x-id"]);
        response.writeHead(MISDIRECTED, { "x-id": id, "x-not-run": "1" }).end();
      },
      PLAIN_SERVICE,
      "1",
    );
    world.registerStart("a", 1_000, "1");
    await world.start(t);
    recordOrigin(world, "r1", "1");
    const answer = await world.call("/resumable/a", {
      headers: { "x-id": "again", ...headers },
    });
    t.is(answer.status, UNAVAILABLE);
    t.deepEqual(softwareOf(answer.bytes), []);
    t.deepEqual(required, ["1000"]);
  });
}

test("a stream that breaks because its server restarts with other software isn't resumed", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  await world.addServer(
    "a",
    (request, response) => {
      arrivals.push(String(request.headers["x-after"]));
      beginStream(request, response);
      response.write(`id: ${arrivals.length}\ndata: ${arrivals.length}\n\n`);
      setTimeout(() => {
        world.registerStart("a", 2_000, "2");
        response.destroy();
      }, 50);
    },
    PLAIN_SERVICE,
    "1",
  );
  world.registerStart("a", 1_000, "1");
  await world.start(t);
  const stream = world.call("/resumable/a");
  while (arrivals.length === 0) await sleep(1);
  await world.addServer(
    "b",
    (request, response) => {
      arrivals.push("at another server");
      answerBriefly("1", request, response);
    },
    PLAIN_SERVICE,
    "1",
  );
  await t.throwsAsync(stream);
  t.deepEqual(arrivals, ["undefined"]);
});
