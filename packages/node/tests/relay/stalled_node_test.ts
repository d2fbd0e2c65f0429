/**
 * A node whose process stands still for a moment: what came meanwhile waits to
 * be read while the timers of its limits run out.
 */
import test from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { RelayWorld } from "./helpers/relay_world.ts";

const ANSWER =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwell";

/** Keeps the process from doing anything else, as a busy VM does. */
function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

/** Puts a server in place that answers, and then keeps the node from reading. */
async function answerBeforeStall(
  t: ExecutionContext,
  world: RelayWorld,
  stallMilliseconds: number,
): Promise<Socket[]> {
  const connections: Socket[] = [];
  const server = createServer((socket) => {
    connections.push(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(ANSWER);
      blockEventLoop(stallMilliseconds);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  world.addAddress("s1", `127.0.0.1:${port}`);
  return connections;
}

async function startWorld(t: ExecutionContext): Promise<RelayWorld> {
  const world = new RelayWorld();
  world.configure();
  return await world.start(t);
}

// Guards against a limit's refusal while the answer lies there unread.
test.serial("an answer that came before its limit is passed on after a stall", async (t) => {
  const world = await startWorld(t);
  await answerBeforeStall(t, world, 400);
  const answer = await world.call("/short/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "well"]);
});

// Guards against calls that are cut as silent since nobody read their answer.
test.serial("a server that answered during a stall is not taken for silent", async (t) => {
  const world = await startWorld(t);
  const connections = await answerBeforeStall(t, world, 700);
  const answer = await world.call("/repeatable/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "well"]);
  t.is(connections.length, 1, "It was sent once.");
});
