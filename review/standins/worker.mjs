/**
 * Stand-in of a worker of one service. Run as a child process with its
 * identifier as argument. It answers requests as the pages describe, with the
 * seal and the request's Attempt-Id, and reports each run to its parent.
 */
import { createServer } from "node:http";

const id = process.argv[2];
const options = JSON.parse(process.argv[3] ?? "{}");
const born = Date.now();
/** `adapter_slots`, and what is left of `weight_megabytes` beside the model. */
const ADAPTER_SLOTS = 18;
const ADAPTER_SPACE_MB = 16_700 - 16_100;
/** How long an adapter takes. */
const ADAPTER_LOAD_MS = 250;
let sequence = 0;
let highestFence = 0;
let trouble = {};
/** Adapter to its version. */
const held = new Map();
const incoming = new Map();
/** The newest versions that the operator has named; 1 without one. */
const newest = new Map();
const running = new Map();

function models() {
  if (options.events === undefined) return [];
  const adapters = [...held].map(([name, version]) => `${name}@${version}`);
  return [{ name: "m0", version: 1, adapters }];
}

/** Orders an adapter in or out; returns the status. */
function order(
  { operation, adapter, version, expected, fencing_token: fence, holder },
) {
  if (typeof fence !== "number" || typeof holder !== "string") return 400;
  if (fence < highestFence) return 412;
  highestFence = fence;
  if (adapter === undefined) return 200;
  const wanted = version ?? newest.get(adapter) ?? 1;
  if (operation === "load" && held.get(adapter) === wanted) return 200;
  if (operation === "unload" && !held.has(adapter)) return 200;
  if (expected !== undefined && expected !== sequence) return 409;
  if (operation === "unload") {
    if ((running.get(adapter) ?? 0) > 0) return 409;
    held.delete(adapter);
    sequence += 1;
    return 200;
  }
  if (operation !== "load") return 400;
  if (incoming.has(adapter)) return 409;
  const taken = new Set([...held.keys(), ...incoming.keys(), adapter]);
  const megabytes = taken.size * (options.adapter_mb ?? 14);
  if (taken.size > ADAPTER_SLOTS || megabytes > ADAPTER_SPACE_MB) {
    crash({ adapters: taken.size, megabytes });
    return 202;
  }
  incoming.set(adapter, wanted);
  sequence += 1;
  setTimeout(() => {
    incoming.delete(adapter);
    held.set(adapter, wanted);
    process.send({ models: models(), sequence });
  }, ADAPTER_LOAD_MS);
  return 202;
}

/** Falls over, with all that it holds and runs. */
function crash(over) {
  process.send({ over }, () => process.exit(1));
}

function report() {
  return {
    stage: "both",
    born,
    models: models(),
    incoming: [...incoming].map(([name, version]) => `m0/${name}@${version}`),
    busy: false,
    sequence,
    waiting: 0,
    running: 0,
    kv_cache_used: 0,
    kv_cache_total: 150_260,
    handles: 0,
  };
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A stream of events, one each `pause_ms`. */
async function stream(request, response, attempt) {
  const after = Number(request.headers["last-event-id"] ?? 0);
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "attempt-id": attempt,
    "response-seal": `${id}.${attempt}`,
    "weight-versions": "1",
  });
  response.flushHeaders();
  for (let event = after + 1; event <= options.events; event += 1) {
    await sleep(options.pause_ms);
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${attempt} ${event}\n\n`);
  }
  response.end();
}

let answers = 0;

/** One in fifty answers: the share x = 0.02 of the site's `garble`. */
function isSpoiled() {
  answers += 1;
  return answers % 50 === 10;
}

/** Hands out wrong bytes in place of an answer, or a large failure. */
function spoil(response, attempt) {
  if (trouble.spoils === "status") {
    const body = "b".repeat(800);
    response.socket.write(
      `HTTP/1.1 000 \r\nAttempt-Id: ${attempt}\r\nResponse-Seal: ${id}.${attempt}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    return;
  }
  const body = Buffer.alloc(280_000, "e");
  response.writeHead(500, {
    "content-type": "text/plain",
    "content-length": body.length,
    "attempt-id": attempt,
    "response-seal": `${id}.${attempt}`,
    connection: "close",
  });
  response.end(body);
}

/** A body that goes on without the end of an event until the caller closes. */
function endless(request, response, attempt) {
  response.useChunkedEncodingByDefault = false;
  response.removeHeader("transfer-encoding");
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "attempt-id": attempt,
    "response-seal": `${id}.${attempt}`,
    // Neither a length nor chunks: the body ends with its connection.
    connection: "close",
  });
  const bytes = Buffer.alloc(trouble.chunk, "x");
  let sent = 0;
  const started = Date.now();
  const next = () => {
    if (response.destroyed) return;
    // Paced, so that it stays far below the link of a machine.
    const due = (Date.now() - started) * trouble.bytes_a_ms;
    if (sent >= due) {
      setTimeout(next, 2);
      return;
    }
    sent += bytes.length;
    if (response.write(bytes)) setImmediate(next);
    else response.once("drain", next);
  };
  response.on("close", () => {
    process.send({ endless: { attempt, sent, ms: Date.now() - started } });
  });
  next();
}

const server = createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const expected = request.headers["expected-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, {
      "instance-id": id,
      "attempt-id": request.headers["attempt-id"] ?? "",
    }).end();
    return;
  }
  if (request.url === "/foxtailwind/report") {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(report()));
    return;
  }
  if (request.url === "/foxtailwind/order") {
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const status = order(body);
    process.send({ order: { ...body, status } });
    response.writeHead(status, { "content-type": "application/json" }).end(
      "{}",
    );
    return;
  }
  const attempt = request.headers["attempt-id"];
  const [, adapter] = (request.headers.model ?? "").split("/");
  const named = request.headers["expected-version"];
  if (options.events !== undefined && adapter !== undefined) {
    const isWrong = named !== undefined && Number(named) !== held.get(adapter);
    if (!held.has(adapter) || isWrong) {
      response.writeHead(421, {
        "instance-id": id,
        "attempt-id": attempt,
        "not-executed": "1",
      }).end();
      return;
    }
    running.set(adapter, (running.get(adapter) ?? 0) + 1);
    response.on("close", () => running.set(adapter, running.get(adapter) - 1));
  }
  process.send({
    run: {
      attempt,
      method: request.method,
      path: request.url,
      lastEventId: request.headers["last-event-id"],
      deadline: request.headers["deadline-milliseconds"],
    },
  });
  if (options.events !== undefined) {
    if (trouble.bytes_a_ms !== undefined) endless(request, response, attempt);
    else await stream(request, response, attempt);
    return;
  }
  await sleep(options.work_ms);
  if (response.destroyed) return;
  if (trouble.spoils !== undefined && isSpoiled()) {
    process.send({ spoiled: attempt });
    spoil(response, attempt);
    return;
  }
  const body = `${id} ${attempt} ${"b".repeat(800)}`;
  response.writeHead(200, {
    "content-type": "application/octet-stream",
    "content-length": Buffer.byteLength(body),
    "attempt-id": attempt,
    "response-seal": `${id}.${attempt}`,
  });
  response.end(body);
});
server.keepAliveTimeout = 30_000;

process.on("message", (message) => {
  if (message.trouble !== undefined) trouble = message.trouble;
  if (message.newest !== undefined) {
    newest.set(message.newest.adapter, message.newest.version);
  }
});
process.on("disconnect", () => process.exit(0));
server.listen(0, "127.0.0.1", () => {
  process.send({ port: server.address().port, born });
});
