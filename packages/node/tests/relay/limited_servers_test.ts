import { ProcessClock } from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { nodeDigest } from "./helpers/node_digest.ts";
import { RelayWorld, succeed } from "./helpers/relay_world.ts";

/** Starts a front server whose backend servers state rate limits. */
async function startLimited(
  t: Parameters<RelayWorld["start"]>[0],
  limits: readonly number[],
) {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  for (const [index, limit] of limits.entries()) {
    const id = `s${index + 1}`;
    await world.addServer(id, (request, response) => {
      arrivals.push(id);
      request.resume();
      if (limit > 0) response.setHeader("x-limit", String(limit));
      succeed(request, response, "served");
    });
  }
  await world.start(t);
  return { world, arrivals };
}

test("a request that limits leave no time for is refused at once, with a retry time", async (t) => {
  const { world, arrivals } = await startLimited(t, [0.5]);
  t.is((await world.call("/once/a")).status, 200);
  const clock = new ProcessClock();
  const before = clock.now();
  const refused = await world.call("/once/b");
  t.is(refused.status, 503);
  const wait = Number(refused.headers["retry-after"]);
  t.true(wait > 1 && wait <= 2.3, `${wait} s`);
  t.true(clock.now() - before < 300, "It was not queued.");
  t.is(arrivals.length, 1);
});

test("a request that limits leave time for is queued", async (t) => {
  const { world, arrivals } = await startLimited(t, [6]);
  t.is((await world.call("/once/a")).status, 200);
  t.is((await world.call("/once/b")).status, 200);
  const answers = await Promise.all(
    Array.from({ length: 12 }, () => world.call("/once/c")),
  );
  const refused = answers.filter(({ status }) => status === 503);
  t.true(refused.length >= 8, "Requests far back in the queue are refused.");
  t.true(refused.every(({ headers }) => Number(headers["retry-after"]) > 0.4));
  t.true(arrivals.length < 6);
});

test("a server without a limit takes the requests that a limited one can't", async (t) => {
  const { world, arrivals } = await startLimited(t, [0.5, 0]);
  for (let index = 0; index < 20; index += 1) {
    t.is((await world.call("/once/a")).status, 200);
  }
  t.true(arrivals.filter((id) => id === "s1").length <= 1);
});

test("a limit observed by another node applies here until it is no longer reported", async (t) => {
  const { world, arrivals } = await startLimited(t, [0]);
  const clock = new ProcessClock();
  const report = (sequence: number, requestsPerSecond: number | undefined) => {
    world.knowledge.peers.applyDigest(
      clock.now(),
      nodeDigest("n2", {
        sequence,
        limits: [{ server: "s1", start: 0, requestsPerSecond }],
      }),
    );
    world.limits.refresh(clock.now());
  };
  report(1, 0.5);
  t.is((await world.call("/once/a")).status, 503);
  t.is(arrivals.length, 0);
  report(2, undefined);
  await sleep(10);
  t.is((await world.call("/once/a")).status, 200);
});
