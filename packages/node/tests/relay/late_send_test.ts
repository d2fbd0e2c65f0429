import test from "ava";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { startWorld } from "./helpers/relay_world.ts";

/** As many requests as the node opens connections to one server. */
const CONNECTIONS = 85;
/** Longer than the time limit of the short route. */
const STALL_MILLISECONDS = 300;
const POLL_MILLISECONDS = 5;

/** Blocks this process, as a VM that is short of processor time does. */
function stall(): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, STALL_MILLISECONDS);
}

// Guards against requests that are written after their deadline.
test("a request whose deadline passes while it waits for a connection is not written", async (t) => {
  const world = await startWorld(t);
  const arrivals: string[] = [];
  const responses: ServerResponse[] = [];
  await world.addServer("s1", (request, response) => {
    request.resume();
    arrivals.push(request.url ?? "");
    response.setHeader("x-id", String(request.headers["x-id"]));
    response.setHeader("x-seal", "s");
    responses.push(response);
  });
  const calls = Array.from(
    { length: CONNECTIONS },
    () => world.call("/patient/first"),
  );
  while (arrivals.length < CONNECTIONS) await sleep(POLL_MILLISECONDS);
  const queued = world.call("/short/queued");
  while (world.front.requestsInProgress <= CONNECTIONS) {
    await sleep(POLL_MILLISECONDS);
  }
  // The connection becomes free during the stall, ahead of the deadline.
  responses.shift()?.end("served");
  stall();
  t.is((await queued).status, 503);
  for (const response of responses) response.end("served");
  await Promise.all(calls);
  t.false(arrivals.includes("/short/queued"));
});
