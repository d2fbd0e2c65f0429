/** A stand-in for the platform's store: keyed topics in memory, as PROTOCOL.md tells them. */
import { createServer } from "node:http";

export class Store {
  topics = new Map();
  waiting = [];
  era = 1;
  /** Set to a function (path, topic) => "ok" | "silent" | "down" | "late" to disturb calls. */
  behaviour = () => "ok";
  async start() {
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    return this;
  }
  /**
   * Listens at another port, where the entries of servers are read with other addresses: those of
   * proxies between one node and the servers.
   */
  async addView(addressOf) {
    const server = createServer((request, response) => this.#handle(request, response, (record) => {
      if (record.value.length === 0) return record;
      const entry = JSON.parse(record.value);
      return { ...record, value: Buffer.from(JSON.stringify({ ...entry, address: addressOf(entry.address) })) };
    }));
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    (this.viewServers ??= []).push(server);
    return server.address().port;
  }
  stop() {
    for (const server of this.viewServers ?? []) { server.closeAllConnections(); server.close(); }
    this.server.closeAllConnections();
    this.server.close();
  }
  put(topic, key, value) {
    const text = value === undefined ? "" : JSON.stringify(value);
    this.#append(topic, [{ key: Buffer.from(key), value: Buffer.from(text) }]);
  }
  end(topic) {
    return this.topics.get(topic)?.length ?? 0;
  }
  newest(topic) {
    const newest = new Map();
    for (const record of this.topics.get(topic) ?? []) {
      const key = record.key.toString();
      if (record.value.length === 0) newest.delete(key);
      else newest.set(key, record);
    }
    return newest;
  }
  #append(topic, entries) {
    const records = this.topics.get(topic) ?? [];
    for (const entry of entries) records.push({ ...entry, offset: records.length });
    this.topics.set(topic, records);
    for (const wake of this.waiting.splice(0)) wake();
  }
  async #handle(request, response, view = (record) => record) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const query = url.searchParams;
    const topic = query.get("topic") ?? "";
    const seen = topic === "keyed.servers" ? view : (record) => record;
    const act = this.behaviour(url.pathname, topic);
    if (act === "silent") return;
    response.setHeader("Store-Era", String(this.era));
    if (act === "down") return void response.writeHead(503).end();
    await new Promise((resolve) => setTimeout(resolve, 4));
    if (url.pathname === "/foxtailwind/log-newest") {
      const newest = this.newest(topic);
      const after = query.get("after") ?? "";
      const keys = [...newest.keys()].sort().filter((key) => key > after);
      const page = keys.slice(0, 500);
      response.setHeader("content-type", "application/json");
      return void response.end(JSON.stringify({
        items: page.map((key) => ({ key, value: seen(newest.get(key)).value.toString("base64"), offset: newest.get(key).offset })),
        has_more: keys.length > page.length,
        end: this.end(topic),
      }));
    }
    if (url.pathname === "/foxtailwind/log-read") {
      const from = Number(query.get("from"));
      const wait = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
      if (from > this.end(topic)) return void response.writeHead(410).end(JSON.stringify({ first: 0 }));
      if (from >= this.end(topic) && wait > 0) {
        const until = Date.now() + wait;
        while (from >= this.end(topic) && Date.now() < until) {
          await new Promise((resolve) => {
            const timer = setTimeout(resolve, until - Date.now());
            this.waiting.push(() => { clearTimeout(timer); resolve(); });
          });
        }
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(this.end(topic)), 0);
      const records = (this.topics.get(topic) ?? []).slice(from).map(seen).map(topic.startsWith("keyed.") ? encodeKeyed : encodeRaw);
      return void response.end(Buffer.concat([head, ...records]));
    }
    if (url.pathname === "/foxtailwind/log-append") {
      const at = query.get("at");
      const offset = this.end(topic);
      if (at !== null && Number(at) !== offset) return void response.writeHead(412).end(JSON.stringify({ end: offset }));
      this.#append(topic, decode(body, topic.startsWith("keyed.")));
      return void response.end(JSON.stringify({ offset, end: this.end(topic) }));
    }
    response.writeHead(404).end();
  }
}

function encodeRaw({ value }) {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(value.length, 0);
  return Buffer.concat([head, value]);
}
function encodeKeyed({ key, value }) {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + key.length + value.length, 0);
  head.writeUInt8(key.length, 4);
  return Buffer.concat([head, key, value]);
}
function decode(body, keyed) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    if (keyed) {
      const keyEnd = at + 5 + body.readUInt8(at + 4);
      records.push({ key: body.subarray(at + 5, keyEnd), value: body.subarray(keyEnd, end) });
    } else records.push({ key: Buffer.alloc(0), value: body.subarray(at + 4, end) });
    at = end;
  }
  return records;
}
