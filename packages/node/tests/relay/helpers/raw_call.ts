import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Between two looks at what has come, in milliseconds. */
const POLL = 10;

/** What came back on one connection, and how that ended. */
export interface RawAnswer {
  readonly bytes: string;
  /** Whether the connection was reset, not ended in order. */
  readonly wasReset: boolean;
}

/** A request in progress on a connection of its own. */
export interface RawCall {
  /** What has come so far. */
  readonly bytes: string;
  /** Resolves once the answer has a text in it, or has ended. */
  readonly heard: (text: string) => Promise<void>;
  readonly ended: Promise<RawAnswer>;
}

/**
 * Sends a request, and tells apart how its connection ends.
 * @param port Where.
 * @param path What is asked for.
 * @param id The request's id.
 * @returns The call.
 */
export function rawCall(port: number, path: string, id = "r1"): RawCall {
  const socket = connect(port, "127.0.0.1");
  let bytes = "";
  let wasReset = false;
  socket.on("data", (chunk: Buffer) => {
    bytes += chunk.toString();
  });
  socket.on("error", () => {
    wasReset = true;
  });
  // A reset that comes with the last bytes shows as an end, and as an error
  // only once something is written.
  socket.prependListener("end", () => {
    socket.write(Buffer.alloc(0));
  });
  const ended = new Promise<RawAnswer>((resolve) => {
    socket.once("close", () => {
      resolve({ bytes, wasReset });
    });
  });
  socket.write(
    `POST ${path} HTTP/1.1\r\nhost: one.example\r\nx-id: ${id}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
  );
  return {
    get bytes() {
      return bytes;
    },
    ended,
    heard: async (text) => {
      while (!bytes.includes(text) && !socket.destroyed) await sleep(POLL);
    },
  };
}
