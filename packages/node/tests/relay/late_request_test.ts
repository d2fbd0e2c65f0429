/**
 * Guards against requests that a stopping node passes on although they outlast
 * it: streams were cut at the end of the grace, and requests that may run once
 * ended without their answer.
 */
import { seconds } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";
import { RelayWorld, succeed } from "./helpers/relay_world.ts";

/** Calls of a route from which its durations are known. */
const KNOWN_CALLS = 5;

/**
 * Starts a node whose server takes a time for each request.
 * @returns The node, and the paths that reached the server since the stop began.
 */
async function startStopping(t: ExecutionContext, terms: {
  readonly path: string;
  readonly duration: number;
  readonly knownCalls: number;
}) {
  const { path, duration, knownCalls } = terms;
  const world = new RelayWorld();
  world.configure();
  const late: string[] = [];
  await world.addServer("s1", (request, response) => {
    if (world.plannedStop !== undefined) late.push(request.url ?? "");
    setTimeout(() => {
      succeed(request, response, "data: a\n\n");
    }, duration);
  });
  await world.start(t);
  await Promise.all(
    Array.from({ length: knownCalls }, () => world.call(path)),
  );
  world.plannedStop = { begunAt: world.timeBefore(100), grace: seconds(3) };
  return { world, late };
}

for (const path of ["/patient/a", "/patient_stream/a"]) {
  test(`a request that outlasts a stopping node is refused at once on ${path}`, async (t) => {
    const { world, late } = await startStopping(t, {
      path,
      duration: 2_400,
      knownCalls: KNOWN_CALLS,
    });
    const begunAt = Date.now();
    const { status, headers } = await world.call(path);
    t.is(status, 503);
    t.true(Number(headers["retry-after"]) >= 0);
    t.is(headers["connection"], "close");
    t.true(Date.now() - begunAt < 1_000);
    t.deepEqual(late, []);
    t.deepEqual(world.refusals, ["stopping"]);
  });

  test(`a request that ends before a stopping node is served on ${path}`, async (t) => {
    const { world, late } = await startStopping(t, {
      path,
      duration: 400,
      knownCalls: KNOWN_CALLS,
    });
    t.is((await world.call(path)).status, 200);
    t.deepEqual(late, [path]);
  });

  test(`a request of unknown duration that may outlast a stopping node is refused on ${path}`, async (t) => {
    const { world, late } = await startStopping(t, {
      path,
      duration: 10,
      knownCalls: KNOWN_CALLS - 1,
    });
    t.is((await world.call(path)).status, 503);
    t.deepEqual(late, []);
  });
}

test("a request is not sent to another server if it would outlast a stopping node there", async (t) => {
  const world = new RelayWorld();
  world.configure();
  let arrivals = 0;
  for (const id of ["s1", "s2"]) {
    await world.addServer(id, (_request, response) => {
      arrivals += 1;
      world.plannedStop = {
        begunAt: world.timeBefore(2_000),
        grace: seconds(3),
      };
      response.destroy();
    });
  }
  await world.start(t);
  const { status } = await world.call("/repeatable/a");
  t.is(status, 504);
  t.is(arrivals, 1);
});

// Guards against streams that take longer than all before and are cut, although
// their callers could have used another node.
test("once callers use other nodes, only what certainly ends in time is accepted", async (t) => {
  for (const path of ["/patient/a", "/patient_stream/a"]) {
    const { world, late } = await startStopping(t, {
      path,
      duration: 10,
      knownCalls: KNOWN_CALLS,
    });
    const begunAt = world.timeBefore(3_000);
    world.plannedStop = { begunAt, grace: seconds(8) };
    t.is((await world.call(path)).status, 503);
    t.is((await world.call("/once/a")).status, 200);
    t.deepEqual(late, ["/once/a"]);
  }
});
