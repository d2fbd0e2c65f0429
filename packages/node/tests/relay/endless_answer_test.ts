/**
 * Bytes that are no answer may come without end, in a head or a body, as fast as
 * the connection carries them or now and then. A node must give up such a call,
 * close its connection, and try another server where that is allowed.
 */
import test, { type ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { relaySettings } from "./helpers/relay_settings.ts";
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

const EVENT_HEAD =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n";
const EVENT = "id: 1\ndata: a\n\n";
const REST = "id: 2\ndata: b\n\n";

function inChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const ENDLESS_EVENTS: Readonly<
  Record<string, (socket: Socket, isFast: boolean) => void>
> = {
  "in chunks": (socket, isFast) => {
    socket.write(
      `${EVENT_HEAD}transfer-encoding: chunked\r\n\r\n${inChunk(EVENT)}`,
    );
    writeChunks(socket, isFast);
  },
  "until its connection ends": (socket, isFast) => {
    socket.write(`${EVENT_HEAD}\r\n${EVENT}`);
    writeEndlessly(socket, FAST_CHUNK, isFast);
  },
};

for (const [framing, answer] of Object.entries(ENDLESS_EVENTS)) {
  for (const isFast of [true, false]) {
    const speed = isFast ? "at full speed" : "now and then";
    // Guards against events that are kept, copied and searched without a bound.
    test(`an event without end ${framing}, ${speed}, is given up and the stream resumed elsewhere`, async (t) => {
      const world = await startWorld(t);
      const sockets: Socket[] = [];
      const requests: string[] = [];
      for (const id of ["s1", "s2"]) {
        await serveRaw(t, world, id, (socket, request) => {
          requests.push(request);
          sockets.push(socket);
          if (sockets.length === 1) answer(socket, isFast);
          else {
            socket.write(
              `${EVENT_HEAD}transfer-encoding: chunked\r\n\r\n${
                inChunk(REST)
              }0\r\n\r\n`,
            );
          }
        });
      }
      const { body, looksComplete } = await rawCall(
        world.port,
        "/long_resumable/a",
      ).ended;
      t.is(body, `${EVENT}${REST}`);
      t.true(looksComplete);
      t.regex(requests[1] ?? "", /^x-after: 1\r$/m);
      const [endless] = sockets;
      if (endless !== undefined) await assertGivenUp(t, endless);
      t.is(world.answerMemory.usedBytes, 0);
    });
  }
}

test("an event without end that may not be resumed is read no faster than its caller reads it", async (t) => {
  const { world, endless } = await startServers(t, (socket) => {
    socket.write(`${EVENT_HEAD}transfer-encoding: chunked\r\n\r\n`);
    writeChunks(socket, true);
  });
  const caller = connect(world.port, "127.0.0.1");
  t.teardown(() => caller.destroy());
  caller.pause();
  caller.write(
    "POST /patient_stream/a HTTP/1.1\r\nhost: one.example\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n",
  );
  await sleep(1_000);
  t.true(
    endless().bytesWritten - endless().writableLength < MAXIMUM_READ_BYTES,
  );
  t.is(world.answerMemory.usedBytes, 0);
});

test("an event without end that may not be resumed is given up if only its connection ends it", async (t) => {
  const { world, endless } = await startServers(t, (socket) => {
    socket.write(`${EVENT_HEAD}\r\n${EVENT}`);
    writeEndlessly(socket, FAST_CHUNK, true);
  });
  const { body, looksComplete } = await rawCall(world.port, "/patient_stream/a")
    .ended;
  t.is(body, EVENT);
  t.false(looksComplete);
  t.deepEqual(world.outcomes, ["broken_stream"]);
  await assertGivenUp(t, endless());
  t.is(world.answerMemory.usedBytes, 0);
});

// Guards against heaps that are full of the answers of servers in trouble.
test("failures without end of many requests stay within the memory for answers", async (t) => {
  const world = await startWorld(t);
  const length = 200 * 1_024;
  const { vm } = relaySettings();
  const limit = vm.memory_megabytes * 1_048_576 / 16;
  const count = Math.ceil(1.5 * limit / length);
  for (const id of ["s1", "s2", "s3"]) {
    await serveRaw(t, world, id, (socket) => {
      socket.write(`${FAILURE}${"x".repeat(length)}`);
    });
  }
  const calls = Array.from(
    { length: count },
    () => rawCall(world.port, "/once/a"),
  );
  let highest = 0;
  const sampling = setInterval(() => {
    highest = Math.max(highest, world.answerMemory.usedBytes);
  }, 1);
  const answers = await Promise.all(calls.map((call) => call.ended));
  clearInterval(sampling);
  t.true(answers.every(({ bytes }) => /^HTTP\/1\.1 50[24] /.test(bytes)));
  t.true(highest > limit / 2, `${highest}`);
  t.true(highest <= limit + length, `${highest}`);
  t.is(world.answerMemory.usedBytes, 0);
});
