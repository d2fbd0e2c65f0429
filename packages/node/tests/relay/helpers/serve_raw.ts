import type { ExecutionContext } from "ava";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { RelayWorld } from "./relay_world.ts";

/** The head of a success with a close-delimited body. */
export const CLOSE_DELIMITED_HEAD =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\n";

/**
 * Starts a backend server that writes whatever bytes a test wants.
 * @returns What listens at its address.
 */
export async function serveRaw(
  t: ExecutionContext,
  world: RelayWorld,
  id: string,
  answer: (socket: Socket, request: string) => void,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      answer(socket, bytes.toString());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  world.addAddress(id, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  return server;
}
