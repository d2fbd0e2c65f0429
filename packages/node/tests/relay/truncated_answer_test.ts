/**
 * Truncated answers must not look complete. Callers got status 200 with a short
 * body when a server died during a close-delimited answer, since the end of a
 * connection doesn't prove that the answer is complete. The same happened when
 * the relay itself ended, with bodies of failures and with events that were cut
 * off; and a repeated answer was accepted before its request id was checked.
 * Each test failed when only resets by servers were handled.
 */
import test from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { CLOSE_DELIMITED_HEAD, serveRaw } from "./helpers/serve_raw.ts";

test("a close-delimited answer is forwarded only once its end is known", async (t) => {
  const world = await startWorld(t);
  const begun: Socket[] = [];
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}half a bo`);
    begun.push(socket);
  });
  const call = rawCall(world.port, "/once/a");
  while (begun.length === 0) await sleep(5);
  await sleep(150);
  t.is(call.bytes, "", "A node killed here should not have begun the answer.");
  begun[0]?.end("dy");
  const { bytes, wasReset } = await call.ended;
  t.regex(bytes, /^HTTP\/1\.1 200 [^]*half a body$/);
  t.false(wasReset);
});

test("a repeatable request is retried if its close-delimited answer is reset", async (t) => {
  const world = await startWorld(t);
  let arrivals = 0;
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      arrivals += 1;
      if (arrivals > 1) {
        socket.end(`${CLOSE_DELIMITED_HEAD}whole`);
        return;
      }
      socket.write(`${CLOSE_DELIMITED_HEAD}half a bo`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
  }
  const { bytes } = await rawCall(world.port, "/repeatable/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
});

test("a close-delimited stream does not look complete if the node ends first", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}id: 1\ndata: a\n\n`);
  });
  const call = rawCall(world.port, "/stream/a");
  await call.received("id: 1");
  await world.front.abortAll();
  t.false((await call.ended).looksComplete);
});

test("a close-delimited stream that ends within an event is resumed elsewhere", async (t) => {
  const world = await startWorld(t);
  let arrivals = 0;
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      arrivals += 1;
      socket.end(
        arrivals === 1
          ? `${CLOSE_DELIMITED_HEAD}id: 1\ndata: a\n\nid: 2\nda`
          : `${CLOSE_DELIMITED_HEAD}id: 2\ndata: b\n\n`,
      );
    });
  }
  const answer = await rawCall(world.port, "/resumable/a").ended;
  t.is(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(answer.looksComplete);
});

const FAILURE =
  "HTTP/1.1 500 Internal Server Error\r\nx-id: r1\r\nx-seal: s\r\n\r\nhalf a fail";

test("a close-delimited failure is forwarded if the connection is closed", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => socket.end(FAILURE));
  const answer = await rawCall(world.port, "/once/a").ended;
  t.regex(answer.bytes, /^HTTP\/1\.1 500 /);
  t.is(answer.body, "half a fail");
  t.true(answer.looksComplete);
});

test("a close-delimited failure is not forwarded if the connection is reset", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(FAILURE);
    socket.resetAndDestroy();
  });
  const { bytes } = await rawCall(world.port, "/once/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 502 /);
});

test("a late repeat of an earlier answer does not apply to the next request", async (t) => {
  const world = await startWorld(t);
  const runs: string[] = [];
  const refusal =
    "HTTP/1.1 503 Service Unavailable\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
  let arrivals = 0;
  await serveRaw(t, world, "s1", (socket, request) => {
    arrivals += 1;
    const id = /x-id: (\w+)/i.exec(request)?.[1] ?? "";
    if (arrivals === 1) socket.write(refusal);
    else if (arrivals === 2) {
      socket.write(
        `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nwell`,
      );
    } else {
      runs.push(id);
      // Repeats the answer to the first request.
      socket.write(refusal);
    }
  });
  t.regex((await rawCall(world.port, "/once/a", "r1").ended).bytes, /well$/);
  const { bytes } = await rawCall(world.port, "/once/a", "r2").ended;
  t.deepEqual(runs, ["r2"], "It should run once.");
  t.regex(bytes, /^HTTP\/1\.1 502 /, "A 503 would state that it has not run.");
});

/** More than the kernels of both sides buffer of a connection. */
const LONG_UPLOAD_BYTES = 24 * 1_024 * 1_024;

/** How a server ends an answer to a request that it has not read. */
const EARLY_ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  "is reset": (socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}half a bo`, () => {
      socket.resetAndDestroy();
    });
  },
  "ends in order": (socket) => {
    socket.end(`${CLOSE_DELIMITED_HEAD}half a bo`);
  },
};

for (const [end, answer] of Object.entries(EARLY_ENDS)) {
  // Guards against a part of an answer that comes while the request is written:
  // nothing but the end of the connection shows whether it is complete.
  test(`a close-delimited answer to an upload that is not written yet is not forwarded if it ${end}`, async (t) => {
    const world = await startWorld(t);
    const { routes } = world.knowledge;
    if (routes === undefined) throw new RangeError("No configuration.");
    const { configuration } = routes;
    world.knowledge.configuration({
      ...configuration,
      version: configuration.version + 1,
      limits: { ...configuration.limits, bodyBytes: LONG_UPLOAD_BYTES },
    });
    await serveRaw(t, world, "s1", (socket) => {
      socket.removeAllListeners("data");
      socket.pause();
      answer(socket);
    });
    const body = Buffer.alloc(LONG_UPLOAD_BYTES, "x");
    const { status } = await world.call("/once/a", { body });
    t.is(status, 502);
    t.deepEqual(world.outcomes, ["lost"]);
  });
}
