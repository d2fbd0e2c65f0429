import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";

/** An HTTP server on loopback, for responses that no stand-in can send. */
export interface RawServer {
  readonly address: string;
  readonly close: () => void;
}

/**
 * Starts an HTTP server.
 * @param answer Handles each request.
 * @returns The server.
 */
export async function startRawServer(
  answer: RequestListener,
): Promise<RawServer> {
  const server = createServer(answer);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * Finds an address that no server listens on.
 * @returns The address.
 */
export async function findClosedAddress(): Promise<string> {
  const server = await startRawServer(() => undefined);
  server.close();
  return server.address;
}
