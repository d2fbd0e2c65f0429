import { PeerDatagram } from "@foxtailwind/protocol";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { SocketAddress } from "../settings/settings.ts";

/** Larger datagrams may be split on their way, and lost as a whole. */
const MAXIMUM_DATAGRAM_BYTES = 1_200;

/** The largest text that is sure to fit into a datagram. */
export const MAXIMUM_DATAGRAM_TEXT_BYTES = 1_150;

/**
 * Sends datagrams to peers and receives theirs, on the port of the peers' calls.
 * A datagram that is lost is not repeated.
 */
export class PeerDatagrams {
  #socket: Socket | undefined;
  /** Called with each message of a peer. */
  readonly #listeners: ((message: PeerDatagram) => void)[] = [];

  /**
   * Adds a listener.
   * @param listener Called with each message of a peer.
   */
  addListener(listener: (message: PeerDatagram) => void): void {
    this.#listeners.push(listener);
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
   * Sends a message to peers, unless it is too large or the socket isn't open.
   * @param message The message.
   * @param addresses The peers' IP literals and ports.
   */
  send(message: PeerDatagram, addresses: readonly string[]): void {
    const bytes = PeerDatagram.encode(message).finish();
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
      const message = PeerDatagram.decode(bytes);
      for (const listener of this.#listeners) listener(message);
    } catch {
      // Not a message of a peer.
    }
  }
}
