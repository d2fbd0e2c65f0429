import { seconds } from "@foxtailwind/core";
import test, { type ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { rawCall } from "./helpers/raw_call.ts";
import { RelayWorld, succeed } from "./helpers/relay_world.ts";

const RAW_REQUEST =
  "POST /once/a HTTP/1.1\r\nhost: one.example\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";

/** Starts a backend server whose answers are close-delimited. */
async function serveCloseDelimited(
  t: ExecutionContext,
  world: RelayWorld,
  writeBody: (socket: Socket) => void,
  id = "s1",
): Promise<void> {
  const server = createTcpServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(
        "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\n",
      );
      writeBody(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  world.addAddress(id, `127.0.0.1:${(server.address() as AddressInfo).port}`);
}

function beginStream(response: ServerResponse): void {
  response.writeHead(200, {
    "x-id": "r1",
    "x-seal": "s",
    "content-type": "text/event-stream",
  });
}

test("bodies are relayed byte for byte both ways, with a length or chunked", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.addServer("s1", (request, response) => {
    const hash = createHash("sha256");
    request.on("data", (bytes: Buffer) => hash.update(bytes));
    request.on("end", () => {
      succeed(
        request,
        response,
        `${request.method} ${request.url} ${hash.digest("hex")}`,
      );
    });
  });
  await world.start(t);
  const body = Buffer.from(
    Array.from({ length: 70_000 }, (_, index) => index % 256),
  );
  const expected = createHash("sha256").update(body).digest("hex");
  const answer = await world.call("/once/a%20b?c=%2F", { body });
  t.is(answer.status, 200);
  t.is(answer.bytes.toString(), `POST /once/a%20b?c=%2F ${expected}`);
  t.is(answer.headers["x-seal"], "s");
  const chunked = await world.call("/once/x", {
    body,
    headers: { "transfer-encoding": "chunked" },
  }).catch(() => undefined);
  if (chunked !== undefined) {
    t.true(chunked.bytes.toString().endsWith(expected));
  }
});

test("a close-delimited answer is forwarded completely", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const server = createTcpServer((socket) => {
    socket.once("data", () => {
      socket.end(
        "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\nwhole body",
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  world.addAddress("s1", `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await world.start(t);
  const answer = await world.call("/once/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "whole body"]);
});

test("a close-delimited answer that is reset does not look complete", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await serveCloseDelimited(t, world, (socket) => {
    socket.write("half a bo");
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  await world.start(t);
  const { bytes, wasReset } = await rawCall(world.port, "/once/a").ended;
  // If the reset arrives before the head, the caller gets a 502.
  t.true(wasReset || bytes.startsWith("HTTP/1.1 502"), bytes);
});

test("an answer reset together with its last bytes does not look complete", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await serveCloseDelimited(t, world, (socket) => {
    socket.write("half a bo");
    socket.resetAndDestroy();
  });
  await world.start(t);
  const { bytes, wasReset } = await rawCall(world.port, "/once/a").ended;
  t.true(wasReset || bytes.startsWith("HTTP/1.1 502"), bytes);
});

test("a complete close-delimited answer is forwarded with a length", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await serveCloseDelimited(t, world, (socket) => socket.end("whole body"));
  await world.start(t);
  const answer = await rawCall(world.port, "/once/a").ended;
  t.regex(answer.bytes, /content-length: 10\r\n/i);
  t.is(answer.body, "whole body");
  t.true(answer.looksComplete);
});

test("a reset during an answer to a stalled caller ends only that answer", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await serveCloseDelimited(t, world, (socket) => {
    socket.write(Buffer.alloc(20_000_000));
    setTimeout(() => socket.resetAndDestroy(), 150);
  });
  await world.start(t);
  const caller = connect(world.port, "127.0.0.1");
  caller.on("error", () => undefined);
  caller.write(RAW_REQUEST);
  caller.pause();
  await sleep(400);
  caller.destroy();
  world.removeServer("s1");
  await serveCloseDelimited(t, world, (socket) => socket.end("whole"), "s2");
  const { bytes } = await rawCall(world.port, "/once/a").ended;
  t.true(bytes.endsWith("whole"), bytes);
});

test("late in its stop, a node refuses only requests that may outlast it", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  await world.addServer("s1", (request, response) => {
    arrivals.push(request.url ?? "");
    succeed(request, response, "done");
  });
  await world.start(t);
  world.plannedStop = { begunAt: world.timeBefore(3_000), grace: seconds(8) };
  const refused = await world.call("/engine/a");
  t.is(refused.status, 503);
  t.is(refused.headers["connection"], "close");
  t.true(Number(refused.headers["retry-after"]) > 0);
  t.is((await world.call("/once/a")).status, 200);
  t.deepEqual(arrivals, ["/once/a"]);
});

test("invalid and unroutable requests are refused and reach no server", async (t) => {
  const world = new RelayWorld();
  let arrivals = 0;
  await world.addServer("s1", (request, response) => {
    arrivals += 1;
    succeed(request, response, "no");
  });
  await world.start(t);
  t.is(
    (await world.call("/once/a")).status,
    503,
    "There is no configuration yet.",
  );
  world.configure();
  t.is((await world.call("/none/a")).status, 404);
  t.is(
    (await world.call("/once/a", { headers: { host: "two.example" } })).status,
    404,
  );
  t.is(
    (await world.call("/once/a", { body: Buffer.alloc(100_001) })).status,
    413,
  );
  t.is(
    (await world.call("/once/a", { headers: { "x-long": "x".repeat(5_000) } }))
      .status,
    431,
  );
  const raw = [
    "POST /once/a HTTP/1.1\r\nHost: one.example\r\n\r\n",
    "POST /once/a HTTP/1.1\r\nHost: one.example\r\nx-id: r\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    "POST /once/a HTTP/1.1\r\nHost: one.example\r\nx-id: r\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /once/a HTTP/1.1\r\nHost: one.example\r\nx-id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  ];
  for (const text of raw) {
    t.regex(await exchangeRaw(world.port, text), /^HTTP\/1\.1 400 /);
  }
  t.is(arrivals, 0);
});

function exchangeRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    let seen = "";
    socket.on("data", (bytes) => {
      seen += bytes.toString();
      socket.end();
    });
    socket.on("close", () => {
      resolve(seen);
    });
    socket.on("error", () => undefined);
  });
}

test("a request before the first configuration waits briefly for it", async (t) => {
  const world = new RelayWorld();
  await world.addServer("s1", (request, response) => {
    succeed(request, response, "well");
  });
  await world.start(t);
  const waiting = world.call("/once/a");
  setTimeout(() => {
    world.configure();
  }, 50);
  t.is((await waiting).status, 200);
});

test("a failed repeatable request is retried elsewhere, others are not", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  for (const id of ["s1", "s2"]) {
    await world.addServer(id, (request, response) => {
      arrivals.push(`${id} ${request.url}`);
      const isFirst = arrivals.filter((one) =>
        one.endsWith(request.url ?? "")
      ).length === 1;
      response.setHeader("x-id", "r1");
      response.setHeader("x-seal", "s");
      response.statusCode = isFirst ? 500 : 200;
      response.end(isFirst ? "failed" : "well");
    });
  }
  await world.start(t);
  const repeatable = await world.call("/repeatable/a");
  t.deepEqual([repeatable.status, repeatable.bytes.toString()], [200, "well"]);
  const servers = arrivals.map((one) => one.split(" ")[0]);
  t.is(new Set(servers).size, 2, "The retry should go to another server.");
  const once = await world.call("/once/a");
  t.deepEqual([once.status, once.bytes.toString()], [
    500,
    "failed",
  ]);
  t.is(once.headers["x-seal"], "s");
  t.is(arrivals.length, 3);
});

test("a request that a server reports as not run is sent to another one", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const arrivals: string[] = [];
  for (const id of ["s1", "s2"]) {
    await world.addServer(id, (request, response) => {
      arrivals.push(id);
      if (arrivals.length > 1) {
        succeed(request, response, "well");
        return;
      }
      response.writeHead(503, { "x-id": "r1", "x-not-run": "1" });
      response.end();
    });
  }
  await world.start(t);
  const answer = await world.call("/once/a");
  t.deepEqual([answer.status, answer.bytes.toString()], [200, "well"]);
  t.is(new Set(arrivals).size, 2);
});

test("a 503 that does not report a request as not run is answered with 502", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.addServer("s1", (_request, response) => {
    response.writeHead(503, { "x-id": "r1", "x-seal": "s" });
    response.end();
  });
  await world.start(t);
  const answer = await world.call("/once/a");
  t.is(answer.status, 502);
  t.is(answer.headers["x-seal"], undefined);
});

test("an answer to another request, or without a seal, is never forwarded", async (t) => {
  const world = new RelayWorld();
  world.configure();
  let answers = 0;
  await world.addServer("s1", (_request, response) => {
    answers += 1;
    response.writeHead(
      200,
      answers === 1 ? { "x-id": "r0", "x-seal": "s" } : { "x-id": "r1" },
    );
    response.end("another's");
  });
  await world.start(t);
  for (let turn = 0; turn < 2; turn += 1) {
    const answer = await world.call("/once/a");
    t.is(answer.status, 502);
    t.false(answer.bytes.toString().includes("another's"));
  }
});

test("a request gets its final answer at its route's time limit", async (t) => {
  const world = new RelayWorld();
  world.configure();
  let arrivals = 0;
  await world.addServer("s1", () => {
    arrivals += 1;
  });
  await world.start(t);
  // A stalled machine may leave no time to send the request at all.
  for (;;) {
    const { status } = await world.call("/short/a");
    if (arrivals > 0) {
      t.is(status, 504, "It may have run.");
      break;
    }
    t.is(status, 503, "It was not sent to any server.");
  }
  const empty = new RelayWorld();
  empty.configure();
  await empty.start(t);
  const refused = await empty.call("/short/a");
  t.is(refused.status, 503, "It was not sent to any server.");
  t.true(Number(refused.headers["retry-after"]) > 0);
});

test("a stream that the server cuts off does not look complete to the caller", async (t) => {
  const world = new RelayWorld();
  world.configure();
  await world.addServer("s1", (_request, response) => {
    beginStream(response);
    response.write("id: 1\ndata: a\n\nid: 2\nda");
    setTimeout(() => response.destroy(), 30);
  });
  await world.start(t);
  await t.throwsAsync(world.call("/stream/a"));
  t.deepEqual(world.outcomes, ["broken_stream"]);
});

test("a resumable stream continues elsewhere after its last complete event", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const after: unknown[] = [];
  for (const id of ["s1", "s2"]) {
    await world.addServer(id, (request, response) => {
      after.push(request.headers["x-after"]);
      beginStream(response);
      if (after.length > 1) {
        response.end("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        return;
      }
      response.write("id: 1\ndata: a\n\nid: 2\nda");
      setTimeout(() => response.destroy(), 30);
    });
  }
  await world.start(t);
  const answer = await world.call("/resumable/a");
  t.is(
    answer.bytes.toString(),
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
  );
  t.deepEqual(after, [undefined, "1"]);
});

test("a stream that breaks late is also resumed", async (t) => {
  const world = new RelayWorld();
  world.configure();
  let arrivals = 0;
  await world.addServer("s1", (_request, response) => {
    arrivals += 1;
    beginStream(response);
    if (arrivals > 1) {
      response.end("id: 2\ndata: b\n\n");
      return;
    }
    response.write("id: 1\ndata: a\n\n");
    setTimeout(() => {
      world.removeServer("s1");
      response.destroy();
    }, 750);
    setTimeout(() => {
      world.restoreServer("s1");
    }, 800);
  });
  await world.start(t);
  const answer = await world.call("/resumable/a");
  t.is(answer.bytes.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
});

test("a caller that disconnects ends the request at the server", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const closed = new Promise<void>((resolve) => {
    void world.addServer("s1", (request) => {
      request.socket.once("close", () => {
        resolve();
      });
      leaving.abort();
    });
  });
  const leaving = new AbortController();
  await world.start(t);
  await t.throwsAsync(world.call("/once/a", { signal: leaving.signal }), {
    any: true,
  });
  await closed;
  t.pass();
});

test("a server that refuses connections is skipped and counts as no run", async (t) => {
  const world = new RelayWorld();
  world.configure();
  const unused = createTcpServer();
  await new Promise<void>((resolve) => unused.listen(0, "127.0.0.1", resolve));
  const { port } = unused.address() as AddressInfo;
  await new Promise((resolve) => unused.close(resolve));
  world.addAddress("gone", `127.0.0.1:${port}`);
  await world.start(t);
  t.is((await world.call("/once/a")).status, 503);
  await world.addServer("s2", (request, response) => {
    succeed(request, response, "well");
  });
  for (let turn = 0; turn < 5; turn += 1) {
    t.is((await world.call("/once/a")).status, 200);
  }
});
