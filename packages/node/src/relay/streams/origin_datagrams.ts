import { StreamOrigin } from "@foxtailwind/protocol";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { SocketAddress } from "../../settings/settings.ts";

/** Larger datagrams may be split on their way, and lost as a whole. */
const MAXIMUM_DATAGRAM_BYTES = 1_200;

/**
 * Sends peers what began streams, and receives it from them. A datagram that is
 * lost is not repeated: several peers keep each origin.
 */
export class OriginDatagrams {
  readonly #onOrigin: (origin: StreamOrigin) => void;
  #socket: Socket | undefined;

  /** @param onOrigin Called with each origin that a peer sends. */
  constructor(onOrigin: (origin: StreamOrigin) => void) {
    this.#onOrigin = onOrigin;
  }

  /**
   * Opens the socket.
   * @param address The address.
   * @throws If the address is in use.
   */
  async listen({ host, port }: SocketAddress): Promise<void> {
    const socket = createSocket("udp4");
    socket.on("message", (bytes) => {
      this.#receive(bytes);
    });
    socket.bind(port, host);
    await once(socket, "listening");
    socket.on("error", () => undefined);
    socket.unref();
    this.#socket = socket;
  }

  /**
   * Sends an origin to peers, unless the socket isn't open.
   * @param origin The origin.
   * @param addresses The peers' IP literals and ports.
   */
  send(origin: StreamOrigin, addresses: readonly string[]): void {
    const bytes = StreamOrigin.encode(origin).finish();
    if (bytes.length > MAXIMUM_DATAGRAM_BYTES) return;
    for (const address of addresses) {
      const separator = address.lastIndexOf(":");
      const port = Number(address.slice(separator + 1));
      const host = address.slice(0, separator);
      this.#socket?.send(bytes, port, host, () => undefined);
    }
  }

  /** Closes the socket. */
  close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  #receive(bytes: Buffer): void {
    try {
      this.#onOrigin(StreamOrigin.decode(bytes));
    } catch {
      // Not a message of a peer.
    }
  }
}
