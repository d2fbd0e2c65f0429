import { backendServerId, instant, seconds } from "@foxtailwind/core";
import { ProcessClock } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startWorld, succeed } from "./helpers/relay_world.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Requests sent while a server is in a backoff. */
const REQUESTS = 12;

/** Starts a front server, and a server that refuses its first requests. */
async function startOverloaded(
  t: ExecutionContext,
  { retryAfter, refusals }: {
    readonly retryAfter: number;
    readonly refusals: number;
  },
) {
  const world = await startWorld(t);
  const clock = new ProcessClock();
  const arrivals: number[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    arrivals.push(clock.now());
    if (arrivals.length > refusals) {
      succeed(request, response, "first");
      return;
    }
    response.writeHead(503, {
      "x-id": String(request.headers["x-id"]),
      "x-not-run": "1",
      "x-retry-after": String(retryAfter),
    }).end();
  });
  return { world, clock, arrivals };
}

// Guards against requests to a server that has asked for a backoff.
test("a server that asks for a backoff gets no requests until it ends", async (t) => {
  const { world, clock, arrivals } = await startOverloaded(t, {
    retryAfter: 1,
    refusals: 1,
  });
  t.is((await world.call("/once/first")).status, 503);
  const askedAt = clock.now();
  await world.addServer("s2", (request, response) => {
    request.resume();
    succeed(request, response, "second");
  });
  while (clock.now() < askedAt + 0.9 * MILLISECONDS_PER_SECOND) {
    t.is((await world.call("/once/later")).bytes.toString(), "second");
  }
  t.is(arrivals.length, 1);
  await sleep(askedAt + 1.1 * MILLISECONDS_PER_SECOND - clock.now());
  world.removeServer("s2");
  t.is((await world.call("/once/last")).bytes.toString(), "first");
});

test("a request is refused at once if all servers ask for a longer backoff than it can wait", async (t) => {
  const { world, clock, arrivals } = await startOverloaded(t, {
    retryAfter: 5,
    refusals: 1,
  });
  t.is((await world.call("/once/first")).status, 503);
  for (let index = 0; index < REQUESTS; index += 1) {
    const sentAt = clock.now();
    const refused = await world.call("/once/later");
    t.is(refused.status, 503);
    const retryAfter = Number(refused.headers["retry-after"]);
    t.true(retryAfter > 4 && retryAfter <= 5, `${retryAfter} s`);
    t.true(clock.now() - sentAt < 300, "It was not queued.");
  }
  t.is(arrivals.length, 1);
});

test("a request waits for a server whose backoff ends soon", async (t) => {
  const { world, arrivals } = await startOverloaded(t, {
    retryAfter: 0.25,
    refusals: 1,
  });
  t.is((await world.call("/once/first")).bytes.toString(), "first");
  t.is(arrivals.length, 2);
  const [first = 0, second = 0] = arrivals;
  t.true(second - first >= 250, `${second - first} ms`);
});

test("a stream isn't resumed at a server that asks for a backoff meanwhile", async (t) => {
  const world = await startWorld(t);
  const arrivals: string[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    const id = String(request.headers["x-id"]);
    arrivals.push(id);
    if (id === "refused") {
      response.writeHead(503, {
        "x-id": id,
        "x-not-run": "1",
        "x-retry-after": "5",
      }).end();
      return;
    }
    response.writeHead(200, {
      "x-id": id,
      "x-seal": "s",
      "content-type": "text/event-stream",
    });
    response.write("id: 1\ndata: one\n\n");
    setTimeout(() => response.destroy(), 200);
  });
  const stream = world.call("/resumable/a", { headers: { "x-id": "stream" } });
  const broken = t.throwsAsync(stream, { any: true });
  while (arrivals.length === 0) await sleep(5);
  t.is(
    (await world.call("/once/b", { headers: { "x-id": "refused" } })).status,
    503,
  );
  await broken;
  t.deepEqual(arrivals, ["stream", "refused"]);
});

// Guards against a request that is placed while a search waits for an owner, at
// a server that has asked for a backoff since it was listed.
test("no request may be taken from the limits of a server in a backoff", async (t) => {
  const world = await startWorld(t);
  const run = { id: backendServerId("s1") };
  t.true(world.limits.tryTake(run));
  world.limits.applyAnswer(run, {
    sentAt: instant(0),
    status: 503,
    facts: {
      isNotRun: true,
      isMisdirected: false,
      isLeaving: false,
      hasSeal: false,
      retryAfter: seconds(1),
    },
  });
  t.false(world.limits.tryTake(run));
  await sleep(1.1 * MILLISECONDS_PER_SECOND);
  t.true(world.limits.tryTake(run));
});
