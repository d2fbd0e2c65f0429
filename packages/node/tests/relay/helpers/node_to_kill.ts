/**
 * A separate process that a test kills: a front server whose only backend has
 * begun an answer without a length. Prints its port to standard output.
 */
import type { ExecutionContext } from "ava";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { RelayWorld } from "./relay_world.ts";

const server = createServer((socket) => {
  socket.on("error", () => undefined);
  socket.once("data", () => {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\nid: 1\ndata: a\n\n",
    );
  });
});
server.listen(0, "127.0.0.1", () => {
  void startFront((server.address() as AddressInfo).port);
});

async function startFront(port: number): Promise<void> {
  const world = new RelayWorld();
  world.configure();
  world.addAddress("s1", `127.0.0.1:${port}`);
  // No teardown is needed, since the process is killed.
  await world.start(
    { teardown: () => undefined } as unknown as ExecutionContext,
  );
  process.stdout.write(`${world.port}\n`);
}
