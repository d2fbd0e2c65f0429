import test from "ava";
import { BusyServer } from "./helpers/busy_server.ts";
import { startWorld } from "./helpers/relay_world.ts";

/** Longer than the time limit of the short route. */
const STALL_MILLISECONDS = 300;

/** Blocks this process, as a VM that is short of processor time does. */
function stall(): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, STALL_MILLISECONDS);
}

// Guards against requests that are written after their deadline.
test("a request whose deadline passes while it waits for a connection is not written", async (t) => {
  const world = await startWorld(t);
  const server = await BusyServer.start(world);
  const queued = world.call("/short/queued");
  await server.waitForQueued(world);
  // The connection becomes free during the stall, ahead of the deadline.
  server.answerOne();
  stall();
  t.is((await queued).status, 503);
  await server.answerAll();
  t.false(server.hasReceived("/short/queued"));
});
