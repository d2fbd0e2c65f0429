import { resetUnanswered } from "@foxtailwind/edges";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { buildConnector, Client, type Dispatcher } from "undici";

/** More than the buffers of a connection on loopback hold. */
const LARGE_BODY = Buffer.alloc(32 * 1024 * 1024);

/** More than a new connection's receive buffer, and less than a send buffer. */
const RECEIVE_BUFFER_BYTES = 1024 * 1024;
/** The time in which the buffers of a connection fill. */
const FILL_MILLISECONDS = 50;

/** How a connection ended for the server: in order, or by a reset. */
type ConnectionEnd = "closed" | "reset";

interface Peer {
  readonly client: Client;
  /** The server's end of the connection, once it is open. */
  readonly socket: Promise<Socket>;
  readonly end: Promise<ConnectionEnd>;
}

async function startPeer(t: ExecutionContext): Promise<Peer> {
  let onSocket: (socket: Socket) => void = () => undefined;
  let onEnd: (end: ConnectionEnd) => void = () => undefined;
  const socket = new Promise<Socket>((resolve) => {
    onSocket = resolve;
  });
  const end = new Promise<ConnectionEnd>((resolve) => {
    onEnd = resolve;
  });
  const server = createServer((connection) => {
    connection.on("end", () => {
      onEnd("closed");
    });
    connection.on("error", () => {
      onEnd("reset");
    });
    onSocket(connection);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new Client(`http://127.0.0.1:${port}`, {
    connect: resetUnanswered(buildConnector({})),
  });
  t.teardown(async () => {
    await client.destroy();
    server.close();
  });
  return { client, socket, end };
}

/** A request that can be given up, as the relay's calls can. */
class Call implements Dispatcher.DispatchHandler {
  readonly hasBegun: Promise<void>;
  #begin: () => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;

  constructor() {
    this.hasBegun = new Promise((resolve) => {
      this.#begin = resolve;
    });
  }

  abort(): void {
    this.#controller?.abort(new Error("given up"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
  }

  onResponseStart(): void {
    this.#begin();
  }

  onResponseData(): void {
    // The body is discarded.
  }

  onResponseEnd(): void {
    // Only aborted calls are tested.
  }

  onResponseError(): void {
    // The test observes the server's end of the connection.
  }
}

function dispatch(client: Client, body: Buffer | null = null): Call {
  const call = new Call();
  client.dispatch({ method: "POST", path: "/", body }, call);
  return call;
}

// Guards against a close that delivers a request after it was given up.
test("a request that is given up before its response resets the connection", async (t) => {
  const { client, socket, end } = await startPeer(t);
  const call = dispatch(client);
  const connection = await socket;
  await new Promise((resolve) => connection.once("data", resolve));
  call.abort();
  t.is(await end, "reset");
});

test("bytes of a request that the kernel has not sent are discarded when it is given up", async (t) => {
  const { client, socket } = await startPeer(t);
  const call = dispatch(client, LARGE_BODY);
  const connection = await socket;
  connection.pause();
  await sleep(FILL_MILLISECONDS);
  call.abort();
  await sleep(FILL_MILLISECONDS);
  let received = 0;
  connection.on("data", (bytes: Buffer) => {
    received += bytes.length;
  });
  await new Promise((resolve) => {
    connection.once("close", resolve);
    connection.resume();
  });
  t.true(received < RECEIVE_BUFFER_BYTES, `${received} bytes`);
});

test("a request that is given up within its response closes the connection in order", async (t) => {
  const { client, socket, end } = await startPeer(t);
  const call = dispatch(client);
  const connection = await socket;
  connection.resume();
  connection.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
  await call.hasBegun;
  call.abort();
  t.is(await end, "closed");
});

test("a client that is destroyed resets the connection of an unanswered request", async (t) => {
  const { client, socket, end } = await startPeer(t);
  dispatch(client);
  const connection = await socket;
  await new Promise((resolve) => connection.once("data", resolve));
  await client.destroy();
  t.is(await end, "reset");
});

test("an idle connection is closed in order", async (t) => {
  const { client, socket, end } = await startPeer(t);
  const call = dispatch(client);
  const connection = await socket;
  connection.resume();
  connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  await call.hasBegun;
  await client.close();
  t.is(await end, "closed");
});
