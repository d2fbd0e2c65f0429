/**
 * Tests a node whose process stalls briefly: received data stays unread while
 * the timers of its timeouts expire.
 */
import test from "ava";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { RelayWorld } from "./helpers/relay_world.ts";

const ANSWER =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwell";

/** Blocks the event loop, as on a busy VM. */
function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

/** Adds a server that answers and then keeps the node from reading. */
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

// Guards against a timeout while the answer is received but unread.
test.serial("an answer received before its timeout is forwarded after a stall", async (t) => {
  const world = await startWorld(t);
  await answerBeforeStall(t, world, 400);
  const answer = await world.call("/short/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "well"]);
});

// Guards against calls that are cut as silent because their answer is unread.
test.serial("a server that answered during a stall does not count as silent", async (t) => {
  const world = await startWorld(t);
  const connections = await answerBeforeStall(t, world, 700);
  const answer = await world.call("/repeatable/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "well"]);
  t.is(connections.length, 1, "It was sent once.");
});
