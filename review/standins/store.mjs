/**
 * Stand-in of the platform's store: keyed topics with one partition each, over
 * HTTP/1.1, as the pages describe them. Run as a child process; the parent
 * writes what operators and servers write, by messages.
 */
import { createServer } from "node:http";

/** Topic name to its records, the oldest first; offset = index. */
const topics = new Map();
let waiting = [];
let era = 1;

function recordsOf(topic) {
  if (!topics.has(topic)) topics.set(topic, []);
  return topics.get(topic);
}

function append(topic, entries) {
  recordsOf(topic).push(...entries);
  const woken = waiting;
  waiting = [];
  for (const wake of woken) wake();
}

function encode({ key, value }) {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + key.length + value.length, 0);
  head.writeUInt8(key.length, 4);
  return Buffer.concat([head, key, value]);
}

function decode(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const keyEnd = at + 5 + body.readUInt8(at + 4);
    records.push({
      key: body.subarray(at + 5, keyEnd),
      value: body.subarray(keyEnd, at + 4 + length),
    });
    at += 4 + length;
  }
  return records;
}

function json(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function newest(response, topic, after) {
  const byKey = new Map();
  recordsOf(topic).forEach(({ key, value }, offset) => {
    if (value.length === 0) byKey.delete(key.toString());
    else byKey.set(key.toString(), { value, offset });
  });
  const keys = [...byKey.keys()].sort().filter((key) => key > after);
  const page = keys.slice(0, 500);
  json(response, 200, {
    items: page.map((key) => ({
      key,
      value: byKey.get(key).value.toString("base64"),
      offset: byKey.get(key).offset,
    })),
    has_more: keys.length > page.length,
    end: recordsOf(topic).length,
  });
}

async function read(response, topic, query) {
  const from = Number(query.get("from"));
  const wait = Number(query.get("wait_ms") ?? 0);
  if (from > recordsOf(topic).length) {
    json(response, 410, { first: 0 });
    return;
  }
  const until = Date.now() + wait;
  while (from >= recordsOf(topic).length && Date.now() < until) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, until - Date.now());
      waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  const records = recordsOf(topic);
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(records.length), 0);
  response.end(Buffer.concat([head, ...records.slice(from).map(encode)]));
}

const server = createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const url = new URL(request.url, "http://store");
  const topic = url.searchParams.get("topic") ?? "";
  response.setHeader("Store-Era", String(era));
  switch (url.pathname) {
    case "/foxtailwind/log-newest":
      newest(response, topic, url.searchParams.get("after") ?? "");
      break;
    case "/foxtailwind/log-read":
      await read(response, topic, url.searchParams);
      break;
    case "/foxtailwind/log-append": {
      const end = recordsOf(topic).length;
      const at = url.searchParams.get("at");
      if (topic === "keyed.op" || topic === "keyed.servers") {
        json(response, 403, {});
      } else if (at !== null && Number(at) !== end) {
        json(response, 412, { end });
      } else {
        append(topic, decode(Buffer.concat(chunks)));
        json(response, 200, { offset: end, end: recordsOf(topic).length });
      }
      break;
    }
    default:
      json(response, 404, {});
  }
});
server.keepAliveTimeout = 60_000;

process.on("message", (message) => {
  if (message.put !== undefined) {
    const { topic, key, value } = message.put;
    append(topic, [{
      key: Buffer.from(key),
      value: Buffer.from(value === null ? "" : JSON.stringify(value)),
    }]);
  }
});
process.on("disconnect", () => process.exit(0));
server.listen(0, "127.0.0.1", () => {
  process.send({ port: server.address().port });
});
