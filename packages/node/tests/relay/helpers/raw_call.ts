import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Time between two checks of the received bytes. */
const POLL_MILLISECONDS = 10;
const HEAD_END = "\r\n\r\n";

/** The body of an answer as its caller sees it. */
export interface ParsedBody {
  /** The body, decoded if it is chunked. */
  readonly body: string;
  /** Whether it is complete by its framing and the end of the connection. */
  readonly looksComplete: boolean;
}

/** What was received on one connection, and how that ended. */
export interface RawAnswer extends ParsedBody {
  readonly bytes: string;
  /** Whether the connection was reset instead of closed. */
  readonly wasReset: boolean;
}

/** A request on a connection of its own. */
export interface RawCall {
  /** What has been received so far. */
  readonly bytes: string;
  /** Resolves once the answer contains a text or has ended. */
  readonly received: (text: string) => Promise<void>;
  readonly ended: Promise<RawAnswer>;
}

/**
 * Sends a request and records whether its connection is closed or reset.
 * @param port The port to connect to.
 * @param path The path of the request.
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
  // A reset that arrives with the last bytes appears as an end, and as an error
  // only once something is written.
  socket.prependListener("end", () => {
    socket.write(Buffer.alloc(0));
  });
  const ended = new Promise<RawAnswer>((resolve) => {
    socket.once("close", () => {
      resolve({ bytes, wasReset, ...parseBody(bytes, wasReset) });
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
    received: async (text) => {
      while (!bytes.includes(text) && !socket.destroyed) {
        await sleep(POLL_MILLISECONDS);
      }
    },
  };
}

/**
 * Parses an answer as its caller does.
 * @param bytes All received bytes.
 * @param wasReset Whether the connection was reset.
 * @returns The body, and whether it looks complete.
 */
export function parseBody(
  bytes: string,
  wasReset: boolean,
): ParsedBody {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) return { body: "", looksComplete: false };
  const head = bytes.slice(0, end);
  const body = bytes.slice(end + HEAD_END.length);
  if (/^transfer-encoding: chunked/im.test(head)) return parseChunks(body);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length === undefined) return { body, looksComplete: !wasReset };
  return { body, looksComplete: body.length >= Number(length) };
}

function parseChunks(text: string): ParsedBody {
  let body = "";
  let rest = text;
  for (;;) {
    const [size = ""] = rest.split("\r\n", 1);
    const length = Number.parseInt(size, 16);
    if (length === 0) return { body, looksComplete: true };
    if (Number.isNaN(length)) return { body, looksComplete: false };
    rest = rest.slice(size.length + 2);
    body += rest.slice(0, length);
    rest = rest.slice(length + 2);
  }
}
