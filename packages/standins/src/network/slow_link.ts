import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Transform, type TransformCallback } from "node:stream";

/** The maximum size of a packet on the link. */
const PACKET_BYTES = 1_500;

/** How much time lost by late timers the link makes up for. */
const MAXIMUM_LAG_MILLISECONDS = 50;

/** Shares the bandwidth of a link between its connections. */
class LinkSchedule {
  readonly #bytesPerSecond: number;
  #freeAt = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Returns the milliseconds until a packet has arrived. */
  enqueue(bytes: number): number {
    const now = performance.now();
    this.#freeAt = Math.max(this.#freeAt, now - MAXIMUM_LAG_MILLISECONDS) +
      bytes / this.#bytesPerSecond * 1_000;
    return Math.max(0, this.#freeAt - now);
  }
}

/** Delivers bytes packet by packet, as the link gets to them. */
class PacketStream extends Transform {
  readonly #schedule: LinkSchedule;

  constructor(schedule: LinkSchedule) {
    super();
    this.#schedule = schedule;
  }

  override _transform(
    bytes: Buffer,
    _encoding: BufferEncoding,
    onEnd: TransformCallback,
  ): void {
    const packet = bytes.subarray(0, PACKET_BYTES);
    const rest = bytes.subarray(PACKET_BYTES);
    setTimeout(() => {
      this.push(packet);
      if (rest.length === 0) onEnd();
      else this._transform(rest, _encoding, onEnd);
    }, this.#schedule.enqueue(packet.length));
  }
}

/**
 * A network link to a server over which the server's bytes arrive at a limited
 * rate, shared by all connections.
 */
export class SlowLink {
  readonly #serverPort: number;
  readonly #schedule: LinkSchedule;
  readonly #sockets: Socket[] = [];
  readonly #listener = createServer((client) => {
    this.#accept(client);
  });

  /**
   * @param serverPort The port of the server on loopback.
   * @param bytesPerSecond The rate at which the server's bytes arrive.
   */
  constructor(serverPort: number, bytesPerSecond: number) {
    this.#serverPort = serverPort;
    this.#schedule = new LinkSchedule(bytesPerSecond);
  }

  /**
   * Listens on a free loopback port.
   * @returns The port.
   */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#listener.listen(0, "127.0.0.1", resolve);
    });
    return (this.#listener.address() as AddressInfo).port;
  }

  /** Resets all connections and stops listening. */
  close(): void {
    this.#listener.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #accept(client: Socket): void {
    const server = connect(this.#serverPort, "127.0.0.1");
    for (const socket of [client, server]) {
      this.#sockets.push(socket);
      socket.on("error", () => {
        client.destroy();
        server.destroy();
      });
    }
    client.pipe(server);
    server.pipe(new PacketStream(this.#schedule)).pipe(client);
  }
}
