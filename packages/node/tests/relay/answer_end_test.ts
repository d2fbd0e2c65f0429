/**
 * Answers that end early. Callers got status 200 with a body that was too
 * short and looked complete: servers had died in the middle of answers without
 * a length, which end with their connection, and an end of a connection proves
 * nothing. The class is wider than the server's end: the relay's own end, a
 * failure's body and an event that is cut off looked complete in the same way,
 * and a repeated answer was believed before it was asked whose it is. Each test
 * here failed on the code that had mended only the servers' resets.
 */
import test from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { OPEN_ENDED, serveRaw } from "./helpers/serve_raw.ts";

test("an answer without a length reaches its caller only once its end is known", async (t) => {
  const world = await startWorld(t);
  const begun: Socket[] = [];
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${OPEN_ENDED}half a bo`);
    begun.push(socket);
  });
  const call = rawCall(world.port, "/once/a");
  while (begun.length === 0) await sleep(5);
  await sleep(150);
  t.is(call.bytes, "", "A node that is killed here must not have begun it.");
  begun[0]?.end("dy");
  const { bytes, wasReset } = await call.ended;
  t.regex(bytes, /^HTTP\/1\.1 200 [^]*half a body$/);
  t.false(wasReset);
});

test("a repeatable request whose answer broke off without a length is sent again", async (t) => {
  const world = await startWorld(t);
  let arrivals = 0;
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      arrivals += 1;
      if (arrivals > 1) {
        socket.end(`${OPEN_ENDED}whole`);
        return;
      }
      socket.write(`${OPEN_ENDED}half a bo`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
  }
  const { bytes } = await rawCall(world.port, "/repeatable/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
});

test("a stream without a length does not look whole where the node ends first", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${OPEN_ENDED}id: 1\ndata: a\n\n`);
  });
  const call = rawCall(world.port, "/stream/a");
  await call.heard("id: 1");
  await world.front.cut();
  t.false((await call.ended).looksWhole);
});

test("a stream without a length that ends within an event goes on elsewhere", async (t) => {
  const world = await startWorld(t);
  let arrivals = 0;
  for (const id of ["s1", "s2"]) {
    await serveRaw(t, world, id, (socket) => {
      arrivals += 1;
      socket.end(
        arrivals === 1
          ? `${OPEN_ENDED}id: 1\ndata: a\n\nid: 2\nda`
          : `${OPEN_ENDED}id: 2\ndata: b\n\n`,
      );
    });
  }
  const answer = await rawCall(world.port, "/resumable/a").ended;
  t.is(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(answer.looksWhole);
});

const FAILURE =
  "HTTP/1.1 500 Internal Server Error\r\nx-id: r1\r\nx-seal: s\r\n\r\nhalf a fail";

test("a failure without a length is passed on where it ended in order", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => socket.end(FAILURE));
  const answer = await rawCall(world.port, "/once/a").ended;
  t.regex(answer.bytes, /^HTTP\/1\.1 500 /);
  t.is(answer.body, "half a fail");
  t.true(answer.looksWhole);
});

test("a failure without a length that is reset on its way is not passed on", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(FAILURE);
    socket.resetAndDestroy();
  });
  const { bytes } = await rawCall(world.port, "/once/a").ended;
  t.regex(bytes, /^HTTP\/1\.1 502 /);
});

test("a repeated answer that comes late says nothing of the next request", async (t) => {
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
      // What was written for the first request, once more.
      socket.write(refusal);
    }
  });
  t.regex((await rawCall(world.port, "/once/a", "r1").ended).bytes, /well$/);
  const { bytes } = await rawCall(world.port, "/once/a", "r2").ended;
  t.deepEqual(runs, ["r2"], "It ran once.");
  t.regex(bytes, /^HTTP\/1\.1 502 /, "A 503 would say that it has not run.");
});
