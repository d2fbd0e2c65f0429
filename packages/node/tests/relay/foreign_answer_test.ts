/**
 * Bytes on a server's connection that don't answer the current request: repeats
 * of the answer to an earlier send, answers that name no request, and bytes
 * after a complete answer.
 */
import test from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { CLOSE_DELIMITED_HEAD, serveRaw } from "./helpers/serve_raw.ts";

const NOT_RUN =
  "HTTP/1.1 503 Service Unavailable\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const WITH_LENGTH =
  "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 2\r\n\r\n";
/** Enough for bytes in the kernel's buffers to arrive. */
const SETTLE_MILLISECONDS = 100;

test("a repeated refusal of an earlier send does not apply to the next send", async (t) => {
  const world = await startWorld(t);
  let arrivals = 0;
  let runs = 0;
  let first: Socket | undefined;
  await serveRaw(t, world, "s1", (socket) => {
    arrivals += 1;
    first ??= socket;
    // The second send runs, but the refusal of the first arrives again on the
    // first connection.
    first.write(NOT_RUN);
    if (arrivals === 1) return;
    runs += 1;
    setTimeout(() => socket.write(`${WITH_LENGTH}ok`), 20);
  });
  const { bytes } = await rawCall(world.port, "/once/a").ended;
  t.is(runs, 1, "It should run once.");
  t.notRegex(bytes, /^HTTP\/1\.1 503 /, "A 503 states that it has not run.");
});

test("a refusal without a request id does not count as not run", async (t) => {
  const world = await startWorld(t);
  let runs = 0;
  await serveRaw(t, world, "s1", (socket) => {
    runs += 1;
    socket.write(NOT_RUN.replace("x-id: r1\r\n", ""));
  });
  await rawCall(world.port, "/once/a").ended;
  t.is(runs, 1);
});

test("an answer on a streaming route that is not an event stream is forwarded", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.end(
      CLOSE_DELIMITED_HEAD.replace(
        "x-seal",
        "content-type: application/json\r\nx-seal",
      ) + '{"a":1}\n',
    );
  });
  const { bytes, wasReset } = await rawCall(world.port, "/stream/a").ended;
  t.true(bytes.endsWith('{"a":1}\n'), bytes);
  t.false(wasReset);
});

for (const byte of ["\x01", "\x7f", "\0"]) {
  test(`an answer is treated as broken if a header has the invalid byte ${byte.charCodeAt(0)}`, async (t) => {
    const world = await startWorld(t);
    await serveRaw(t, world, "s1", (socket) => {
      const note = `x-note: a${byte}b\r\nx-seal`;
      socket.end(`${CLOSE_DELIMITED_HEAD.replace("x-seal", note)}well`);
    });
    const { bytes } = await rawCall(world.port, "/once/a").ended;
    t.regex(bytes, /^HTTP\/1\.1 502 /);
    t.deepEqual(world.outcomes, ["lost"]);
  });
}

test("after an early answer, the rest of the request body is still sent", async (t) => {
  const world = await startWorld(t);
  const body = Buffer.alloc(90_000, "b");
  let unread = 0;
  const heads: string[] = [];
  await serveRaw(t, world, "s1", (socket, bytes) => {
    let rest = bytes;
    while (rest.length > 0) {
      const taken = Math.min(unread, rest.length);
      if (/[^b]/.test(rest.slice(0, taken))) {
        t.fail("Unexpected bytes arrived.");
      }
      unread -= taken;
      rest = rest.slice(taken);
      if (rest.length === 0) break;
      const end = rest.indexOf("\r\n\r\n") + 4;
      const head = rest.slice(0, end);
      heads.push(head.split("\r\n")[0] ?? "");
      unread = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      rest = rest.slice(end);
      const id = /x-id: (\w+)/i.exec(head)?.[1] ?? "";
      socket.write(
        `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nok`,
      );
    }
  });
  for (const id of ["r1", "r2", "r3"]) {
    const answer = await world.call(`/once/${id}`, {
      body,
      headers: { "x-id": id },
    });
    t.is(answer.bytes.toString(), "ok");
  }
  t.deepEqual(heads, [
    "POST /once/r1 HTTP/1.1",
    "POST /once/r2 HTTP/1.1",
    "POST /once/r3 HTTP/1.1",
  ]);
});

test("bytes after a complete answer reach no caller", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket, request) => {
    const id = /x-id: (\w+)/i.exec(request)?.[1] ?? "";
    const answer =
      `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 2\r\n\r\n${id}`;
    socket.write(answer);
    setTimeout(() => socket.write(answer), 20);
  });
  const first = await rawCall(world.port, "/once/a", "r1").ended;
  await sleep(SETTLE_MILLISECONDS);
  const second = await rawCall(world.port, "/once/a", "r2").ended;
  t.true(first.bytes.endsWith("r1"));
  t.true(second.bytes.endsWith("r2"));
});

test("interim responses are not taken as the final answer", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(
      "HTTP/1.1 103 Early Hints\r\nx-not-run: 1\r\n\r\nHTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nok",
    );
  });
  t.regex(
    (await rawCall(world.port, "/once/a").ended).bytes,
    /^HTTP\/1\.1 200[^]*ok$/,
  );
});
