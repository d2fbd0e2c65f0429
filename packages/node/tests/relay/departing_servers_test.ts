import { backendServerId, instant } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { PLAIN_SERVICE } from "./helpers/relay_routes.ts";
import { type RelayWorld, startWorld, succeed } from "./helpers/relay_world.ts";

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

/** Requests sent after a server has announced its departure. */
const LATER_REQUESTS = 12;
/** The time in which the first event of a stream reaches its caller. */
const FIRST_EVENT_MILLISECONDS = 50;
const POLL_MILLISECONDS = 5;
/** As many requests as the node opens connections to one server. */
const CONNECTIONS = 85;

/** Adds a server that announces its departure in all its answers. */
async function addDepartingServer(
  world: RelayWorld,
  answer: Answer,
): Promise<readonly string[]> {
  const arrivals: string[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    arrivals.push(String(request.headers["x-id"]));
    response.setHeader("x-leaving", "1");
    response.setHeader("x-id", String(request.headers["x-id"]));
    answer(request, response);
  });
  return arrivals;
}

/** Adds a server that stays, and sends requests that either could run. */
async function sendLaterRequests(t: ExecutionContext, world: RelayWorld) {
  await world.addServer("s2", (request, response) => {
    request.resume();
    succeed(request, response, "served");
  });
  for (let index = 0; index < LATER_REQUESTS; index += 1) {
    t.is((await world.call("/once/later")).status, 200);
  }
}

/** Waits until a number of requests has arrived. */
async function waitForArrivals(arrivals: readonly string[], count: number) {
  while (arrivals.length < count) {
    await sleep(POLL_MILLISECONDS);
  }
}

const ANSWERS: Readonly<Record<string, Answer>> = {
  "a success": (_request, response) => {
    response.setHeader("x-seal", "s").end("served");
  },
  "a success without a length": (_request, response) => {
    response.setHeader("x-seal", "s").setHeader("connection", "close");
    response.useChunkedEncodingByDefault = false;
    response.end("served");
  },
  "a failure": (_request, response) => {
    response.writeHead(500).end("failed");
  },
  "a failure that looks like a refusal": (_request, response) => {
    response.writeHead(503).end("failed");
  },
  "a refusal": (_request, response) => {
    response.writeHead(503, { "x-not-run": "1" }).end();
  },
  "a refusal as too many": (_request, response) => {
    response.writeHead(429, { "x-not-run": "1" }).end();
  },
  "an answer that breaks": (_request, response) => {
    response.writeHead(200, { "x-seal": "s", "content-length": "100" });
    response.write("ser");
    setTimeout(() => response.destroy(), 20);
  },
};

for (const [kind, answer] of Object.entries(ANSWERS)) {
  // Guards against servers that get requests after answering that they leave.
  test(`a server that announces its departure in ${kind} gets no further requests`, async (t) => {
    const world = await startWorld(t);
    const arrivals = await addDepartingServer(world, answer);
    await world.call("/once/first").catch(() => undefined);
    t.is((await world.call("/once/later")).status, 503);
    t.is(arrivals.length, 1);
  });
}

test("a stream in progress at a leaving server continues, and the next one goes elsewhere", async (t) => {
  const world = await startWorld(t);
  let end: () => void = () => undefined;
  const arrivals = await addDepartingServer(world, (_request, response) => {
    response.writeHead(200, {
      "x-seal": "s",
      "content-type": "text/event-stream",
    });
    response.write("id: 1\ndata: one\n\n");
    end = () => {
      response.end("id: 2\ndata: two\n\n");
    };
  });
  const stream = world.call("/patient_stream/first");
  await waitForArrivals(arrivals, 1);
  await sleep(FIRST_EVENT_MILLISECONDS);
  await sendLaterRequests(t, world);
  end();
  t.true((await stream).bytes.toString().endsWith("data: two\n\n"));
  t.is(arrivals.length, 1);
});

test("a broken stream isn't resumed at a leaving server", async (t) => {
  const world = await startWorld(t);
  const arrivals = await addDepartingServer(world, (_request, response) => {
    response.writeHead(200, {
      "x-seal": "s",
      "content-type": "text/event-stream",
    });
    response.write("id: 1\ndata: one\n\n");
    setTimeout(() => response.destroy(), 20);
  });
  await t.throwsAsync(world.call("/resumable/first"), { any: true });
  t.is(arrivals.length, 1);
});

test("a refused request isn't repeated at a leaving server", async (t) => {
  const world = await startWorld(t);
  const arrivals = await addDepartingServer(world, (_request, response) => {
    response.writeHead(503, { "x-not-run": "1" }).end();
  });
  t.is((await world.call("/repeatable/first")).status, 503);
  t.is(arrivals.length, 1);
});

test("a request that waits for a connection to a server that announces its departure goes elsewhere", async (t) => {
  const world = await startWorld(t);
  const responses: ServerResponse[] = [];
  const arrivals = await addDepartingServer(world, (_request, response) => {
    responses.push(response);
  });
  const calls = Array.from(
    { length: CONNECTIONS },
    (_, index) =>
      world.call("/patient/first", { headers: { "x-id": `first-${index}` } }),
  );
  await waitForArrivals(arrivals, CONNECTIONS);
  const queued = world.call("/patient/queued", {
    headers: { "x-id": "queued" },
  });
  while (world.front.requestsInProgress <= CONNECTIONS) {
    await sleep(POLL_MILLISECONDS);
  }
  await world.addServer("s2", (request, response) => {
    request.resume();
    succeed(request, response, "elsewhere");
  });
  for (const response of responses) {
    response.setHeader("x-seal", "s").end("served");
  }
  t.is((await queued).bytes.toString(), "elsewhere");
  await Promise.all(calls);
  t.is(arrivals.length, CONNECTIONS);
  t.false(arrivals.includes("queued"));
});

/** The time in which a server doesn't answer a probe. */
const PROBE_MILLISECONDS = 150;

/** A server that restarts under its id and announces departures. */
async function addRestartingServer(world: RelayWorld, options: {
  /** Whether the present start announces its departure. */
  isLeaving: boolean;
}) {
  const arrivals: string[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    if (options.isLeaving) response.setHeader("x-leaving", "1");
    if (request.headers["x-server"] !== "s1") {
      rejectProbe(request, response);
      return;
    }
    arrivals.push(String(request.headers["x-id"]));
    succeed(request, response, "served");
  });
  world.registerStart("s1", 1);
  return arrivals;
}

/** Rejects a request that is meant for no server, after a while. */
function rejectProbe(request: IncomingMessage, response: ServerResponse) {
  const id = String(request.headers["x-id"]);
  response.setHeader("x-id", id).setHeader("x-not-run", "1");
  setTimeout(() => response.writeHead(421).end(), PROBE_MILLISECONDS);
}

// Guards against a departure that is recorded for the start before the one that
// announced it, and forgotten when the registry tells of that one.
test("a restarted server that announces its departure before its start is known gets no further requests", async (t) => {
  const world = await startWorld(t);
  const arrivals = await addRestartingServer(world, { isLeaving: true });
  t.is((await world.call("/once/first")).status, 200);
  world.registerStart("s1", 2);
  t.false(world.takesRequests("s1"));
  await sendLaterRequests(t, world);
  await sleep(2 * PROBE_MILLISECONDS);
  t.is((await world.call("/once/last")).status, 200);
  t.is(arrivals.length, 1);
});

test("a server that restarts after its departure is used again once it answers that it stays", async (t) => {
  const world = await startWorld(t);
  const server = { isLeaving: true };
  const arrivals = await addRestartingServer(world, server);
  t.is((await world.call("/once/first")).status, 200);
  server.isLeaving = false;
  world.registerStart("s1", 2);
  while (!world.takesRequests("s1")) await sleep(POLL_MILLISECONDS);
  t.is((await world.call("/once/later")).status, 200);
  t.is(arrivals.length, 2);
});

// Guards against a probe whose answer is taken for that of a later start.
test("a probe of an earlier start doesn't tell whether the newest one stays", async (t) => {
  const world = await startWorld(t);
  world.addAddress("s1", "127.0.0.1:1", PLAIN_SERVICE, 1);
  const { departures, registry } = world.knowledge;
  const present = () => {
    const server = registry.find(backendServerId("s1"));
    if (server === undefined) throw new RangeError("There is no server.");
    return server;
  };
  world.knowledge.recordDeparture(present());
  world.registerStart("s1", 2);
  const second = present();
  world.registerStart("s1", 3);
  departures.applyProbe(instant(0), second, false);
  t.false(world.takesRequests("s1"));
  departures.applyProbe(instant(0), present(), false);
  t.true(world.takesRequests("s1"));
});

// Guards against an answer of a new start on a connection of the one before,
// whose departure is recorded for the former one.
test("a departure in an answer to a request that was sent before the restart became known applies", async (t) => {
  const world = await startWorld(t);
  const responses: ServerResponse[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    response.setHeader("x-leaving", "1");
    response.setHeader("x-id", String(request.headers["x-id"]));
    if (request.headers["x-server"] === "s1") responses.push(response);
    else rejectProbe(request, response);
  });
  world.registerStart("s1", 1);
  const first = world.call("/patient/first");
  while (responses.length === 0) await sleep(POLL_MILLISECONDS);
  world.registerStart("s1", 2);
  responses[0]?.setHeader("x-seal", "s").end("served");
  t.is((await first).status, 200);
  await sendLaterRequests(t, world);
  t.is(responses.length, 1);
});
