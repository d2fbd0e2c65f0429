/**
 * Delivery of answers to callers: whether an incomplete answer may look
 * complete, or an answer may be lost, after the relay has finished with it or
 * on unusual connections.
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
import { parseBody, rawCall } from "./helpers/raw_call.ts";
import { startWorld } from "./helpers/relay_world.ts";
import { CLOSE_DELIMITED_HEAD, serveRaw } from "./helpers/serve_raw.ts";

/** Enough for bytes in the kernel's buffers to arrive. */
const SETTLE_MILLISECONDS = 100;

/** Connects as a caller and records what arrives. */
function connectCaller(port: number, allowHalfOpen = false) {
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

function waitForClose(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("close", () => {
      resolve();
    });
  });
}

function formatRequest(path: string, id: string, version = "1.1"): string {
  return `POST ${path} HTTP/${version}\r\nhost: one.example\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

test("a half-closed caller gets a complete answer or one that looks incomplete", async (t) => {
  const world = await startWorld(t);
  let finish = (): void => undefined;
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(`${CLOSE_DELIMITED_HEAD}id: 1\ndata: a\n\n`);
    finish = () => socket.end("id: 2\ndata: b\n\n");
  });
  const { socket, seen } = connectCaller(world.port, true);
  socket.write(formatRequest("/stream/a", "r1"));
  while (!seen.bytes.includes("id: 1")) await sleep(10);
  socket.end();
  await sleep(SETTLE_MILLISECONDS);
  finish();
  await sleep(SETTLE_MILLISECONDS);
  socket.destroy();
  const { body, looksComplete: looksWhole } = parseBody(
    seen.bytes,
    !seen.hasEnded,
  );
  const hasLastEvent = body.endsWith("id: 2\ndata: b\n\n");
  t.true(
    hasLastEvent || !looksWhole,
    "The answer ended normally before its last event.",
  );
});

test("an aborted answer does not look complete to an HTTP/1.0 caller", async (t) => {
  const world = await startWorld(t);
  await serveRaw(t, world, "s1", (socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    );
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const { socket, seen } = connectCaller(world.port);
  socket.write(formatRequest("/once/a", "r1", "1.0"));
  await waitForClose(socket);
  t.true(seen.bytes.endsWith("half"), seen.bytes);
  t.false(seen.hasEnded && !seen.wasReset, "The connection should be reset.");
});

test("a pipelined request after a close-delimited answer is answered if it runs", async (t) => {
  const world = await startWorld(t);
  const runs: string[] = [];
  await serveRaw(t, world, "s1", (socket, request) => {
    const id = /x-id: (\w+)/i.exec(request)?.[1] ?? "";
    runs.push(id);
    socket.end(`${CLOSE_DELIMITED_HEAD.replace("r1", id)}well ${id}`);
  });
  const { socket, seen } = connectCaller(world.port);
  socket.write(formatRequest("/once/a", "r1") + formatRequest("/once/b", "r2"));
  await waitForClose(socket);
  t.true(seen.bytes.includes("well r1"));
  t.true(
    !runs.includes("r2") || seen.bytes.includes("well r2"),
    "r2 ran but was not answered.",
  );
});

test("a close-delimited stream does not look complete if the node is killed", async (t) => {
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
  await call.received("id: 1");
  child.kill("SIGKILL");
  const { body, looksComplete: looksWhole } = await call.ended;
  t.is(body, "id: 1\ndata: a\n\n");
  t.false(looksWhole, "It should look incomplete.");
});

/** Consecutive polls, 5 ms apart, at which a connection accepts no bytes. */
const STALLED_POLLS = 20;
/** The diagnostics channel on which node:http reports each request. */
const REQUEST_CHANNEL = "http.server.request.start";

/**
 * Resolves with the connection of the next request with the id `slow` at a
 * front server. The port tells it apart from servers of concurrent tests.
 */
function nextSlowConnection(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const onRequest = (message: unknown): void => {
      const { socket, request } = message as {
        readonly socket: Socket;
        readonly request: IncomingMessage;
      };
      const isOther = socket.localPort !== port;
      if (isOther || request.headers["x-id"] !== "slow") return;
      unsubscribe(REQUEST_CHANNEL, onRequest);
      resolve(socket);
    };
    subscribe(REQUEST_CHANNEL, onRequest);
  });
}

/**
 * Fills the connection of a caller that doesn't read, ends the server's answer,
 * and calls `end` before the caller reads the rest.
 */
async function endWithSlowReader(
  t: ExecutionContext,
  head: string,
  end: (front: FrontServer) => Promise<void> | void,
) {
  const world = await startWorld(t);
  const chunk = "x".repeat(8_192);
  const callerConnection = nextSlowConnection(world.port);
  let sent = 0;
  await serveRaw(t, world, "s1", (server) => {
    void (async () => {
      server.write(head);
      const connection = await callerConnection;
      // Writes until the caller's connection has accepted nothing for a while.
      for (let polls = 0; polls < STALLED_POLLS; polls += 1) {
        while (connection.writableLength === 0) {
          server.write(chunk);
          sent += chunk.length;
          polls = 0;
          await nextTurn();
        }
        await sleep(5);
      }
      server.end();
    })();
  });
  const { socket, seen } = connectCaller(world.port);
  socket.pause();
  socket.write(formatRequest("/patient/a", "slow"));
  while (world.outcomes.length === 0) await sleep(5);
  t.deepEqual(world.outcomes, ["answered"]);
  t.is(
    world.front.requestsInProgress,
    1,
    "A stop should wait for the request.",
  );
  await end(world.front);
  await sleep(SETTLE_MILLISECONDS);
  socket.resume();
  await waitForClose(socket);
  const { body, looksComplete: looksWhole } = parseBody(
    seen.bytes,
    seen.wasReset,
  );
  return { sent, got: body.length, looksWhole };
}

const SLOW_CLOSE_DELIMITED = CLOSE_DELIMITED_HEAD.replace("r1", "slow");

test("a close-delimited answer to a slow caller does not look complete if the node ends", async (t) => {
  const { sent, got, looksWhole } = await endWithSlowReader(
    t,
    SLOW_CLOSE_DELIMITED,
    (front) => front.abortAll(),
  );
  t.true(got === sent || !looksWhole, `${got} of ${sent} bytes`);
});

test("closing the listener does not cut off answers that are still being read", async (t) => {
  const { sent, got } = await endWithSlowReader(
    t,
    SLOW_CLOSE_DELIMITED,
    (front) => {
      front.stopListening();
    },
  );
  t.is(got, sent);
});
