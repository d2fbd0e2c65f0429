import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Limits the connections to several servers together: the one whose last request
 * is longest ago gives way to a new one.
 */
export class RecentConnections {
  readonly #limit: number;
  readonly #onLimitReached: () => void;
  /** The one that was used last comes last. */
  readonly #sockets = new Set<Socket>();

  /**
   * @param limit The most connections.
   * @param onLimitReached Called when one is closed.
   */
  constructor(limit: number, onLimitReached: () => void) {
    this.#limit = limit;
    this.#onLimitReached = onLimitReached;
  }

  /**
   * Limits the connections to a server.
   * @param server The server.
   */
  track(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.#add(socket);
    });
    server.on("request", ({ socket }) => {
      if (this.#sockets.delete(socket)) this.#sockets.add(socket);
    });
  }

  #add(socket: Socket): void {
    const [longestUnused] = this.#sockets;
    if (longestUnused !== undefined && this.#sockets.size >= this.#limit) {
      this.#sockets.delete(longestUnused);
      longestUnused.destroy();
      this.#onLimitReached();
    }
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
    });
  }
}
