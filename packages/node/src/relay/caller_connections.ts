import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Callers' connections, and what is in progress on them: a request is until
 * the last byte of its answer is handed to its connection, which may be long
 * after the answer was ended where its caller reads slowly.
 */
export class CallerConnections {
  readonly #inProgress = new Map<Socket, number>();
  #running = 0;

  /** How many requests are in progress. */
  get running(): number {
    return this.#running;
  }

  /**
   * Takes a new connection.
   * @param socket The connection.
   */
  add(socket: Socket): void {
    this.#inProgress.set(socket, 0);
    socket.once("close", () => {
      this.#inProgress.delete(socket);
    });
  }

  /**
   * Takes note of a request.
   * @param socket Its connection.
   * @param response Its answer.
   */
  begin(socket: Socket, response: ServerResponse): void {
    this.#count(socket, 1);
    response.once("close", () => {
      this.#count(socket, -1);
    });
  }

  /** Closes the connections on which nothing is in progress. */
  closeIdle(): void {
    for (const [socket, count] of this.#inProgress) {
      if (count === 0) socket.destroy();
    }
  }

  #count(socket: Socket, change: number): void {
    this.#running += change;
    const count = this.#inProgress.get(socket);
    if (count !== undefined) this.#inProgress.set(socket, count + change);
  }
}
