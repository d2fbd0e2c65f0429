/**
 * Bytes that are no answer may come without end, in a head or a body, as fast as
 * the connection carries them or now and then. A node must give up such a call,
 * close its connection, and try another server where that is allowed.
 */
import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { type RelayWorld, startWorld } from "./helpers/relay_world.ts";
import { serveRaw } from "./helpers/serve_raw.ts";

const SLOW_MILLISECONDS = 50;
const FAST_CHUNK = Buffer.alloc(16_384, "x");
/** More than a node reads of an answer that it gives up. */
const MAXIMUM_READ_BYTES = 16 * 1_024 * 1_024;
const CLOSE_MILLISECONDS = 2_000;
const WHOLE =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nwhole";
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nx-id: r1\r\n" +
  "x-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const FAILURE =
  "HTTP/1.1 500 Internal Server Error\r\nx-id: r1\r\nx-seal: s\r\n\r\n";

/** Writes until the connection is closed. */
function writeEndlessly(socket: Socket, chunk: Buffer, isFast: boolean): void {
  if (socket.destroyed || socket.writableEnded) return;
  if (!isFast) {
    socket.write(chunk.subarray(0, 1));
    setTimeout(() => {
      writeEndlessly(socket, chunk, isFast);
    }, SLOW_MILLISECONDS);
    return;
  }
  const next = () => {
    writeEndlessly(socket, chunk, isFast);
  };
  if (socket.write(chunk)) setImmediate(next);
  else socket.once("drain", next);
}

/** Begins the chunks of a body; slow ones are a byte each. */
function writeChunks(socket: Socket, isFast: boolean): void {
  const size = isFast ? FAST_CHUNK.length : 1;
  const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
  const bytes = Buffer.from(chunk);
  const write = () => {
    if (socket.destroyed) return;
    const hasRoom = socket.write(bytes);
    if (!isFast) setTimeout(write, SLOW_MILLISECONDS);
    else if (hasRoom) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

const ENDLESS_ANSWERS: Readonly<
  Record<string, (socket: Socket, isFast: boolean) => void>
> = {
  "a refusal": (socket, isFast) => {
    socket.write(REFUSAL);
    writeChunks(socket, isFast);
  },
  "a failure": (socket, isFast) => {
    socket.write(FAILURE);
    writeEndlessly(socket, FAST_CHUNK, isFast);
  },
  "a head": (socket, isFast) => {
    socket.write("HTTP/1.1 200 OK\r\nx-id: ");
    writeEndlessly(socket, FAST_CHUNK, isFast);
  },
  "bytes that are no answer": (socket, isFast) => {
    writeEndlessly(socket, FAST_CHUNK, isFast);
  },
};

/** Starts two servers; the first one that is asked never ends its answer. */
async function startServers(
  t: ExecutionContext,
  answer: (socket: Socket) => void,
): Promise<{ readonly world: RelayWorld; readonly endless: () => Socket }> {
  const world = await startWorld(t);
  let endless: Socket | undefined;
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      if (endless !== undefined) {
        socket.end(WHOLE);
        return;
      }
      endless = socket;
      answer(socket);
    });
  }
  return {
    world,
    endless: () => {
      if (endless === undefined) throw new RangeError("No server was asked.");
      return endless;
    },
  };
}

async function assertGivenUp(t: ExecutionContext, socket: Socket) {
  for (let waited = 0; waited < CLOSE_MILLISECONDS; waited += 20) {
    if (socket.destroyed) break;
    await sleep(20);
  }
  t.true(socket.destroyed, "The connection is closed.");
  t.true(socket.bytesWritten - socket.writableLength < MAXIMUM_READ_BYTES);
}

for (const [name, answer] of Object.entries(ENDLESS_ANSWERS)) {
  for (const isFast of [true, false]) {
    const speed = isFast ? "at full speed" : "now and then";
    // Guards against calls that never end, and hold up their requests.
    test(`${name} without end, ${speed}, is given up and another server is asked`, async (t) => {
      const { world, endless } = await startServers(t, (socket) => {
        answer(socket, isFast);
      });
      const { bytes } = await rawCall(world.port, "/repeatable/a").ended;
      t.regex(bytes, /^HTTP\/1\.1 200 [^]*whole$/);
      await assertGivenUp(t, endless());
    });
  }
}

test("a failure without end of a request that may run once is answered as a failure at once", async (t) => {
  const { world, endless } = await startServers(t, (socket) => {
    socket.write(FAILURE);
    writeEndlessly(socket, FAST_CHUNK, true);
  });
  const begunAt = Date.now();
  const { bytes } = await rawCall(world.port, "/patient/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 502 /);
  t.true(Date.now() - begunAt < CLOSE_MILLISECONDS);
  await assertGivenUp(t, endless());
});

for (const isFast of [true, false]) {
  const speed = isFast ? "at full speed" : "now and then";
  test(`bytes without end after a complete answer, ${speed}, belong to no request`, async (t) => {
    const { world, endless } = await startServers(t, (socket) => {
      socket.write(WHOLE);
      writeEndlessly(socket, FAST_CHUNK, isFast);
    });
    const { bytes } = await rawCall(world.port, "/once/a").ended;
    t.regex(bytes, /^HTTP\/1\.1 200 [^]*whole$/);
    const next = await rawCall(world.port, "/once/b", "r1").ended;
    t.regex(next.bytes, /^HTTP\/1\.1 200 [^]*whole$/);
    await assertGivenUp(t, endless());
  });
}
