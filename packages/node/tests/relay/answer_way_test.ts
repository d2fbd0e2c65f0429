/**
 * The way of an answer to its caller: whether it may look whole, or be lost,
 * after the relay has done with it, or where the caller's connection differs
 * from the usual.
 */
import type { FrontServer } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { spawn } from "node:child_process";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import process from "node:process";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { rawCall, readBody } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { OPEN_ENDED, serveRaw } from "./helpers/serve_raw.ts";

/** Enough for what is in the kernel to arrive. */
const MOMENT = 100;

/** A caller's connection, with all that came on it. */
function dial(port: number, allowHalfOpen = false) {
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen });
  const seen = { bytes: "", wasReset: false, hasEnded: false };
  socket.on("data", (chunk: Buffer) => {
    seen.bytes += chunk.toString("latin1");
  });
  socket.on("error", () => {
    seen.wasReset = true;
  });
  socket.on("end", () => {
    seen.hasEnded = true;
  });
  return { socket, seen };
}

function closed(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("close", () => {
      resolve();
    });
  });
}

function ask(path: string, id: string, version = "1.1"): string {
  return `POST ${path} HTTP/${version}\r\nhost: one.example\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

test("a half-closed caller gets its answer whole, or one that does not look so", async (t) => {
  const world = await startWorld(t);
  let finish = (): void => undefined;
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${OPEN_ENDED}id: 1\ndata: a\n\n`);
    finish = () => socket.end("id: 2\ndata: b\n\n");
  });
  const { socket, seen } = dial(world.port, true);
  socket.write(ask("/stream/a", "r1"));
  while (!seen.bytes.includes("id: 1")) await sleep(10);
  socket.end();
  await sleep(MOMENT);
  finish();
  await sleep(MOMENT);
  socket.destroy();
  const { body, looksWhole } = readBody(seen.bytes, !seen.hasEnded);
  const isWhole = body.endsWith("id: 2\ndata: b\n\n");
  t.true(isWhole || !looksWhole, "It ended in order before its last event.");
});

test("an answer that broke off does not look whole to a caller of HTTP/1.0", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    );
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const { socket, seen } = dial(world.port);
  socket.write(ask("/once/a", "r1", "1.0"));
  await closed(socket);
  t.true(seen.bytes.endsWith("half"), seen.bytes);
  t.false(seen.hasEnded && !seen.wasReset, "It ended in order.");
});

test("an answer without a length leaves no request behind it without an answer", async (t) => {
  const world = await startWorld(t);
  const runs: string[] = [];
  await serveRaw(t, world, "s1", (socket, request) => {
    const id = /x-id: (\w+)/i.exec(request)?.[1] ?? "";
    runs.push(id);
    socket.end(`${OPEN_ENDED.replace("r1", id)}well ${id}`);
  });
  const { socket, seen } = dial(world.port);
  socket.write(ask("/once/a", "r1") + ask("/once/b", "r2"));
  await closed(socket);
  t.true(seen.bytes.includes("well r1"));
  t.true(!runs.includes("r2") || seen.bytes.includes("well r2"), "r2 ran.");
});

test("a stream without a length does not look whole where the node is killed", async (t) => {
  const path = fileURLToPath(
    new URL("helpers/node_to_kill.ts", import.meta.url),
  );
  const child = spawn(process.execPath, [...process.execArgv, path], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  t.teardown(() => child.kill("SIGKILL"));
  const port = await new Promise<number>((resolve) => {
    child.stdout.once("data", (line: Buffer) => {
      resolve(Number(line.toString()));
    });
  });
  const call = rawCall(port, "/stream/a");
  await call.heard("id: 1");
  child.kill("SIGKILL");
  const { body, looksWhole } = await call.ended;
  t.is(body, "id: 1\ndata: a\n\n");
  t.false(looksWhole, "Its end in order is all that tells its end.");
});

/** Looks in a row at which a connection takes nothing, 5 ms apart. */
const STUCK_LOOKS = 20;
/** Where node:http tells of each request that it takes. */
const REQUESTS = "http.server.request.start";

/**
 * Tells of the connection that a front's next request comes on. Fronts of tests
 * that run at the same time are told apart by their ports.
 */
function nextConnection(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const take = (found: unknown): void => {
      const { socket, request } = found as {
        readonly socket: Socket;
        readonly request: IncomingMessage;
      };
      const isOther = socket.localPort !== port;
      if (isOther || request.headers["x-id"] !== "slow") return;
      unsubscribe(REQUESTS, take);
      resolve(socket);
    };
    subscribe(REQUESTS, take);
  });
}

/** Sends what a caller that reads slowly gets, and ends it meanwhile. */
async function endUnread(
  t: ExecutionContext,
  head: string,
  end: (front: FrontServer) => Promise<void> | void,
) {
  const world = await startWorld(t);
  const chunk = "x".repeat(8_192);
  const connection = nextConnection(world.port);
  let sent = 0;
  await serveRaw(t, world, "s1", (server) => {
    void (async () => {
      server.write(head);
      const atCaller = await connection;
      // Until the caller's connection has taken nothing more for a while.
      for (let looks = 0; looks < STUCK_LOOKS; looks += 1) {
        while (atCaller.writableLength === 0) {
          server.write(chunk);
          sent += chunk.length;
          looks = 0;
          await nextTurn();
        }
        await sleep(5);
      }
      server.end();
    })();
  });
  const { socket, seen } = dial(world.port);
  socket.pause();
  socket.write(ask("/patient/a", "slow"));
  while (world.outcomes.length === 0) await sleep(5);
  t.deepEqual(world.outcomes, ["answered"]);
  t.is(world.front.running, 1, "A stop waits for it.");
  await end(world.front);
  await sleep(MOMENT);
  socket.resume();
  await closed(socket);
  const { body, looksWhole } = readBody(seen.bytes, seen.wasReset);
  return { sent, got: body.length, looksWhole };
}

const SLOW_OPEN = OPEN_ENDED.replace("r1", "slow");

test("an answer without a length that a slow caller still reads does not look whole where the node ends", async (t) => {
  const { sent, got, looksWhole } = await endUnread(
    t,
    SLOW_OPEN,
    (front) => front.cut(),
  );
  t.true(got === sent || !looksWhole, `${got} of ${sent} bytes`);
});

test("a door that closes leaves the answers that are still being read", async (t) => {
  const { sent, got } = await endUnread(t, SLOW_OPEN, (front) => {
    front.stopListening();
  });
  t.is(got, sent);
});
