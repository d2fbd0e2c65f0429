/**
 * Guards against requests that end without a final answer when a planned stop
 * ends. A caller's connection was closed in the middle of its answer 7.8 s after
 * the signal, since the node had accepted the request 4.5 s after the signal
 * without limiting it to the remaining time. Refusing late requests covers that
 * case only: requests accepted earlier, or before the signal, still ended with
 * a bare close if their server was slow, and servers were given more time than
 * the node had left.
 */
import { seconds } from "@foxtailwind/core";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { RelayWorld, succeed } from "./helpers/relay_world.ts";

test("a request that a stopping node can't finish gets a final answer", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const arrived = new Promise<void>((resolve) => {
    void world.addServer("s1", () => {
      resolve();
    });
  });
  await world.start(t);
  const call = rawCall(world.port, "/once/a");
  await arrived;
  await world.front.abortAll();
  const { bytes } = await call.ended;
  t.regex(bytes, /^HTTP\/1\.1 504 /, "The request may have run.");
});

test("a request not placed before the node ends is answered as not run", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.start(t);
  const call = rawCall(world.port, "/once/a");
  while (world.front.requestsInProgress === 0) await sleep(5);
  await world.front.abortAll();
  const { bytes } = await call.ended;
  t.regex(bytes, /^HTTP\/1\.1 503 /);
  t.regex(bytes, /retry-after: /i);
});

test("a server gets no more time than a stopping node has left", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const left: number[] = [];
  await world.addServer("s1", (request, response) => {
    if (world.plannedStop === undefined) succeed(request, response, "well");
    else left.push(Number(request.headers["x-left"]));
  });
  await world.start(t);
  // The node knows the route's requests as short ones.
  for (let call = 0; call < 5; call += 1) await world.call("/once/a");
  world.plannedStop = { begunAt: world.timeBefore(2_500), grace: seconds(3.5) };
  const { bytes } = await rawCall(world.port, "/once/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 504 /);
  const [milliseconds = Number.NaN] = left;
  t.true(milliseconds > 0 && milliseconds < 1_000, `${milliseconds}`);
});
