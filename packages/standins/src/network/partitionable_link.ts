import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { HangingListener } from "./hanging_listener.ts";

/** Bytes and the end of one direction that a partition holds up. */
interface HeldInput {
  readonly bytes: Buffer[];
  hasEnded: boolean;
}

/** One connection over the link, with its two ends. */
class LinkConnection {
  readonly #client: Socket;
  readonly #server: Socket;
  readonly #isPartitioned: () => boolean;
  readonly #toServer: HeldInput = { bytes: [], hasEnded: false };
  readonly #toClient: HeldInput = { bytes: [], hasEnded: false };
  #wasReset = false;

  constructor(client: Socket, server: Socket, isPartitioned: () => boolean) {
    this.#client = client;
    this.#server = server;
    this.#isPartitioned = isPartitioned;
    this.#forward(client, server, this.#toServer);
    this.#forward(server, client, this.#toClient);
  }

  /** Delivers what was held up, unless one end has reset the connection. */
  heal(): void {
    if (this.#wasReset) {
      this.reset();
      return;
    }
    deliver(this.#toServer, this.#server);
    deliver(this.#toClient, this.#client);
  }

  /** Resets both ends. */
  reset(): void {
    for (const socket of [this.#client, this.#server]) {
      socket.resetAndDestroy();
    }
  }

  #forward(from: Socket, to: Socket, held: HeldInput): void {
    from.on("data", (bytes: Buffer) => {
      if (this.#isPartitioned()) held.bytes.push(bytes);
      else to.write(bytes);
    });
    from.on("end", () => {
      if (this.#isPartitioned()) held.hasEnded = true;
      else to.end();
    });
    from.on("error", () => {
      this.#wasReset = true;
      if (!this.#isPartitioned()) this.reset();
    });
  }
}

function deliver(held: HeldInput, to: Socket): void {
  for (const bytes of held.bytes.splice(0)) to.write(bytes);
  if (held.hasEnded) to.end();
}

/**
 * A network link to a server that can be partitioned. As with TCP, bytes that
 * are sent during a partition arrive after it, also if their sender has closed
 * the connection meanwhile, but not if it has reset the connection.
 */
export class PartitionableLink {
  readonly #serverPort: number;
  readonly #connections: LinkConnection[] = [];
  readonly #listener = createServer({ allowHalfOpen: true }, (client) => {
    this.#accept(client);
  });
  #isPartitioned = false;
  #port = 0;
  #hangingListener: HangingListener | undefined;

  /** @param serverPort The port of the server on loopback. */
  constructor(serverPort: number) {
    this.#serverPort = serverPort;
  }

  /**
   * Listens on a free loopback port.
   * @returns The port.
   */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#listener.listen(this.#port, "127.0.0.1", resolve);
    });
    this.#port = (this.#listener.address() as AddressInfo).port;
    return this.#port;
  }

  /** Begins a partition. */
  partition(): void {
    this.#isPartitioned = true;
  }

  /** Begins to refuse new connections; those that are open live on. */
  refuseConnections(): void {
    this.#listener.close();
  }

  /** Begins to leave attempts to connect without an answer. */
  async hangConnections(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#listener.close();
      setImmediate(resolve);
    });
    this.#hangingListener = new HangingListener(this.#port);
    await this.#hangingListener.start();
  }

  /** Ends the partition, and accepts connections again. */
  async heal(): Promise<void> {
    this.#isPartitioned = false;
    await this.#hangingListener?.stop();
    this.#hangingListener = undefined;
    if (!this.#listener.listening) await this.listen();
    for (const connection of this.#connections) connection.heal();
  }

  /** Resets all connections and stops listening. */
  close(): void {
    void this.#hangingListener?.stop();
    this.#listener.close();
    for (const connection of this.#connections) connection.reset();
  }

  #accept(client: Socket): void {
    const server = connect({
      port: this.#serverPort,
      host: "127.0.0.1",
      allowHalfOpen: true,
    });
    this.#connections.push(
      new LinkConnection(client, server, () => this.#isPartitioned),
    );
  }
}
