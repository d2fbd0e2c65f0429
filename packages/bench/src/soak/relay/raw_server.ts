import { resetConnection } from "@foxtailwind/edges";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** The head of a request, as a raw server reads it. */
export interface RawRequest {
  readonly path: string;
  /** By names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
}

const HEAD_END = "\r\n\r\n";

/** A server that leaves every byte of its answers to whoever takes requests. */
export class RawServer {
  readonly #sockets = new Set<Socket>();
  readonly #server;

  /** @param take Takes each request, none of which has a body. */
  constructor(take: (request: RawRequest, socket: Socket) => void) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.#sockets.delete(socket);
      });
      let unread = "";
      socket.on("data", (bytes) => {
        unread += bytes.toString("latin1");
        for (;;) {
          const end = unread.indexOf(HEAD_END);
          if (end === -1) return;
          const head = unread.slice(0, end);
          unread = unread.slice(end + HEAD_END.length);
          take(parseHead(head), socket);
        }
      });
    });
  }

  /**
   * Starts to listen on loopback.
   * @returns The address.
   */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Takes no more connections, and resets those that are there. */
  crash(): void {
    this.#server.close();
    this.reset();
  }

  /** Resets the connections that are there, and takes others. */
  reset(): void {
    for (const socket of this.#sockets) resetConnection(socket);
  }
}

function parseHead(head: string): RawRequest {
  const [first = "", ...lines] = head.split("\r\n");
  const headers = lines.map((line): [string, string] => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  });
  return { path: first.split(" ")[1] ?? "", headers: new Map(headers) };
}
