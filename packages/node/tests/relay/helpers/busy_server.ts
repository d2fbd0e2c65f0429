import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayWorld } from "./relay_world.ts";

/** As many requests as the node opens connections to one server. */
const CONNECTIONS = 85;
const POLL_MILLISECONDS = 5;

/** A server to which a node has no free connection. */
export class BusyServer {
  readonly #arrivals: string[] = [];
  readonly #responses: ServerResponse[] = [];
  #calls: readonly Promise<unknown>[] = [];

  /**
   * Adds a server to a world and opens all connections to it.
   * @param world The world; it must have no other server.
   * @returns The server.
   */
  static async start(world: RelayWorld): Promise<BusyServer> {
    const server = new BusyServer();
    await world.addServer("s1", (request, response) => {
      request.resume();
      server.#arrivals.push(request.url ?? "");
      response.setHeader("x-id", String(request.headers["x-id"]));
      response.setHeader("x-seal", "s");
      server.#responses.push(response);
    });
    server.#calls = Array.from(
      { length: CONNECTIONS },
      () => world.call("/patient/first"),
    );
    while (server.#arrivals.length < CONNECTIONS) {
      await sleep(POLL_MILLISECONDS);
    }
    return server;
  }

  /**
   * Waits until one more request waits for a connection.
   * @param world The world.
   */
  async waitForQueued({ front }: RelayWorld): Promise<void> {
    while (front.requestsInProgress <= CONNECTIONS) {
      await sleep(POLL_MILLISECONDS);
    }
  }

  /** Answers the oldest request, which frees its connection. */
  answerOne(): void {
    this.#responses.shift()?.end("served");
  }

  /** Answers all requests and waits until their callers have the answers. */
  async answerAll(): Promise<void> {
    while (this.#responses.length > 0) this.answerOne();
    await Promise.all(this.#calls);
  }

  /**
   * Returns whether a request has arrived.
   * @param path Its path.
   * @returns Whether it has.
   */
  hasReceived(path: string): boolean {
    return this.#arrivals.includes(path);
  }
}
