/**
 * Guards against accepted requests that end without a final answer, or that
 * continue after their caller has left: around the end of a stop, while waiting
 * for the first configuration, and while a body arrives slowly.
 */
import { seconds } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { RelayWorld, succeed } from "./helpers/relay_world.ts";

const HEAD = "HTTP/1.1\r\nhost: one.example\r\nx-id: late\r\n";
const REQUEST = `POST /once/a ${HEAD}content-length: 0\r\n\r\n`;

async function startWorld(t: ExecutionContext): Promise<RelayWorld> {
  const world = new RelayWorld();
  return await world.start(t);
}

function dial(port: number) {
  const socket = connect(port, "127.0.0.1");
  const seen = { bytes: "" };
  socket.on("data", (chunk: Buffer) => {
    seen.bytes += chunk.toString();
  });
  socket.on("error", () => undefined);
  return { socket, seen };
}

/** Waits until the front server has this many requests in progress. */
async function waitForRunning(world: RelayWorld, count: number): Promise<void> {
  while (world.front.requestsInProgress !== count) await sleep(5);
}

test("a request that waits for the first configuration gets a final answer when the node ends", async (t) => {
  const world = await startWorld(t);
  const call = rawCall(world.port, "/once/a");
  await waitForRunning(world, 1);
  world.front.stopListening();
  await world.front.abortAll();
  t.regex((await call.ended).bytes, /^HTTP\/1\.1 503 /);
});

test("a request read between the last check and the close is not forwarded, or gets an answer", async (t) => {
  const world = await startWorld(t);
  world.configure();
  const runs: string[] = [];
  await world.addServer("s1", (request, response) => {
    runs.push(String(request.headers["x-id"]));
    succeed(request, response, "well");
  });
  await world.call("/once/a");
  const { socket, seen } = dial(world.port);
  await new Promise((resolve) => socket.once("connect", resolve));
  await sleep(50);
  t.is(world.front.requestsInProgress, 0, "A stop would end now.");
  socket.write(REQUEST);
  world.front.stopListening();
  await world.front.abortAll();
  await sleep(100);
  socket.destroy();
  t.true(
    !runs.includes("late") || seen.bytes !== "",
    "It ran without an answer.",
  );
});

test("a request is dropped if its caller leaves before the first configuration", async (t) => {
  const world = await startWorld(t);
  const runs: string[] = [];
  await world.addServer("s1", (request, response) => {
    runs.push(String(request.headers["x-id"]));
    succeed(request, response, "well");
  });
  const { socket } = dial(world.port);
  socket.write(REQUEST);
  await waitForRunning(world, 1);
  socket.destroy();
  await sleep(60);
  world.configure();
  await sleep(200);
  t.deepEqual(runs, []);
});

test("a partial body is not awaited if its caller leaves before the first configuration", async (t) => {
  const world = await startWorld(t);
  const { socket } = dial(world.port);
  socket.write(`POST /once/a ${HEAD}content-length: 10\r\n\r\nhalf`);
  await waitForRunning(world, 1);
  socket.destroy();
  await sleep(60);
  world.configure();
  await sleep(600);
  t.is(world.front.requestsInProgress, 0, "A stop would take all its time.");
});

test("a send that begins during a stop gives its server no more time than the node has left", async (t) => {
  const world = await startWorld(t);
  world.configure();
  const left: number[] = [];
  let isKnown = false;
  for (const id of ["s1", "s2"]) {
    await world.addServer(id, (request, response) => {
      if (isKnown) left.push(Number(request.headers["x-left"]));
      if (!isKnown || left.length > 1) succeed(request, response, "well");
      else {
        world.plannedStop = {
          begunAt: world.timeBefore(2_000),
          grace: seconds(3),
        };
        response.destroy();
      }
    });
  }
  // The node knows the route's requests as short ones.
  for (let call = 0; call < 5; call += 1) await world.call("/repeatable/a");
  isKnown = true;
  await rawCall(world.port, "/repeatable/a").ended;
  const [, second = Number.NaN] = left;
  t.true(second <= 1_000, `${second}`);
});

test("a request whose body used up its time limit reaches no server", async (t) => {
  const world = await startWorld(t);
  world.configure();
  const left: number[] = [];
  await world.addServer("s1", (request, response) => {
    left.push(Number(request.headers["x-left"]));
    succeed(request, response, "well");
  });
  // Opens the connection to the server, so that nothing delays the send.
  await world.call("/once/a");
  left.length = 0;
  const { socket, seen } = dial(world.port);
  socket.write(
    `POST /once/a ${HEAD}x-patience: 100\r\ncontent-length: 4\r\n\r\nha`,
  );
  await sleep(250);
  socket.write("lf");
  await sleep(150);
  socket.destroy();
  t.deepEqual(left, []);
  t.regex(seen.bytes, /^HTTP\/1\.1 503 /);
});

test("a request that arrived before a stop and is refused during it ends its connection", async (t) => {
  const world = await startWorld(t);
  world.configure();
  const call = dial(world.port);
  call.socket.write(REQUEST.replace("/once/", "/short/"));
  await waitForRunning(world, 1);
  world.plannedStop = { begunAt: world.timeBefore(0), grace: seconds(8) };
  await sleep(300);
  call.socket.destroy();
  t.regex(call.seen.bytes, /^HTTP\/1\.1 503 /);
  t.regex(call.seen.bytes, /connection: close/i);
});

test("a body that is still being read when the node ends reaches no server", async (t) => {
  const world = await startWorld(t);
  world.configure();
  let arrivals = 0;
  await world.addServer("s1", () => {
    arrivals += 1;
  });
  const { socket, seen } = dial(world.port);
  socket.write(`POST /once/a ${HEAD}content-length: 10\r\n\r\nhalf`);
  await waitForRunning(world, 1);
  world.front.stopListening();
  t.is(
    world.front.requestsInProgress,
    1,
    "The request keeps a stop from ending early.",
  );
  await world.front.abortAll();
  await sleep(60);
  t.is(seen.bytes, "");
  t.is(world.front.requestsInProgress, 0);
  t.is(arrivals, 0);
  t.true(socket.destroyed);
});

test("closing the listener leaves requests that are being answered or read", async (t) => {
  const world = await startWorld(t);
  world.configure();
  await world.addServer("s1", (request, response) => {
    setTimeout(() => {
      succeed(request, response, "well");
    }, 150);
  });
  const whole = rawCall(world.port, "/once/a");
  const { socket, seen } = dial(world.port);
  socket.write(`POST /once/a ${HEAD}content-length: 4\r\n\r\nha`);
  await waitForRunning(world, 2);
  for (let call = 0; call < 3; call += 1) world.front.stopListening();
  socket.write("lf");
  t.regex((await whole.ended).bytes, /well$/);
  await sleep(250);
  socket.destroy();
  t.regex(seen.bytes, /well$/);
});
