/**
 * A stand-in for a worker: a model worker (streams, orders, reports) or a plain
 * server, as PROTOCOL.md tells them. It records what reached it and what it ran.
 */
import { createServer } from "node:http";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Worker {
  runs = [];
  orders = 0;
  constructor({ id, service, zone, store, version = "v1", slots = 128, engine, workMs = 30, events = 20, gapMs = 100 }) {
    Object.assign(this, { id, service, zone, store, version, slots, engine, workMs, events, gapMs });
    this.fence = -1;
    this.models = new Map((engine?.models ?? []).map((name) => [name, new Map()]));
  }
  async start(port = 0) {
    this.born = Date.now();
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 20_000;
    await new Promise((resolve, reject) => { this.server.once("error", reject); this.server.listen(port, "127.0.0.1", resolve); });
    this.port = this.server.address().port;
    if (this.heartbeats !== false) this.beginBeats();
    return this;
  }
  beginBeats() {
    this.beat();
    this.timer = setInterval(() => this.beat(), 1200);
  }
  beat() {
    this.count = (this.count ?? 0) + 1;
    this.store.put("keyed.servers", this.id, {
      service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: this.version, slots: this.slots,
      state: "ready", cold_remaining_ms: 0, stage: "both", models: this.held(), sequence: this.engine === undefined ? this.count : this.orders, born: this.born,
    });
  }
  held() {
    return [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters].map(([a, v]) => `${a}@${v}`) }));
  }
  /** Ends as a crash does: all connections are reset, and nothing is said. */
  crash() {
    clearInterval(this.timer);
    this.isDown = true;
    this.server.close();
    this.server.closeAllConnections();
  }
  stop() { this.crash(); }
  async #handle(request, response) {
    const chunks = [];
    try { for await (const chunk of request) chunks.push(chunk); } catch { return; }
    const { headers, url, method } = request;
    const id = headers["attempt-id"];
    if (id !== undefined) response.setHeader("Attempt-Id", id);
    const expected = headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void response.writeHead(421, { "Instance-Id": this.id, "Not-Executed": "1" }).end();
    }
    if (url === "/foxtailwind/report") {
      response.setHeader("content-type", "application/json");
      return void response.end(JSON.stringify({ stage: "both", models: this.held(), busy: this.busy === true, sequence: this.orders, waiting: 0, running: this.runs.filter((run) => run.open).length, kv_cache_used: 0, kv_cache_total: 150260, handles: 0, born: this.born, incoming: [...(this.incoming ?? [])] }));
    }
    if (url === "/foxtailwind/order") return void this.#order(JSON.parse(Buffer.concat(chunks).toString()), response);
    if (url === "/health") return void response.writeHead(200, { "Instance-Id": this.id }).end();
    if (id === undefined) return void response.writeHead(400, { "Not-Executed": "1" }).end();
    if (this.engine !== undefined) {
      const [model, adapter] = String(headers.model ?? "").split("/");
      const adapters = this.models.get(model);
      if (adapters === undefined || (adapter !== undefined && !adapters.has(adapter))) {
        return void response.writeHead(421, { "Instance-Id": this.id, "Not-Executed": "1" }).end();
      }
    }
    if (this.trouble !== undefined && Math.random() < (this.troubleShare ?? 1)) {
      this.troubled = (this.troubled ?? 0) + 1;
      return void this.trouble(request, id);
    }
    const run = { id, at: Date.now(), open: true, version: this.version, lastEventId: headers["last-event-id"], resumes: headers.resumes };
    this.runs.push(run);
    response.on("close", () => { run.open = false; run.complete = response.writableFinished; });
    response.setHeader("Response-Seal", `${this.id}.${this.version}.${id}`);
    if (this.engine === undefined) {
      await sleep(this.workMs * (0.5 + Math.random()));
      return void response.end(`answer ${id}`);
    }
    response.setHeader("content-type", "text/event-stream");
    response.setHeader("Weight-Versions", "1");
    response.flushHeaders();
    const stopsIn = this.stopsEarly?.() === true ? Math.ceil(this.events / 2) : undefined;
    for (let n = Number(headers["last-event-id"] ?? 0) + 1; n <= this.events; n += 1) {
      await sleep(this.gapMs);
      if (this.isDown || response.destroyed) return;
      if (n === stopsIn) {
        run.stoppedAt = n;
        return void response.end(`id: ${n}\ndata: ${this.version.slice(0, 1)}`);
      }
      response.write(`id: ${n}\ndata: ${this.version} ${n}\n\n`);
    }
    response.end();
  }
  async #order(order, response) {
    const answer = (status, body = {}) => { response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body)); };
    if (order.holder === undefined || order.fencing_token === undefined) return answer(400);
    if (order.fencing_token < this.fence) return answer(412);
    this.fence = order.fencing_token;
    const { model, adapter } = order;
    const adapters = this.models.get(model);
    const isLoad = order.operation === "load";
    if (isLoad ? (adapter === undefined ? adapters !== undefined : adapters?.has(adapter)) : (adapter === undefined ? adapters === undefined : !adapters?.has(adapter))) return answer(200);
    if (this.busy === true) return answer(409);
    if (order.expected !== undefined && order.expected !== this.orders) return answer(409);
    this.orders += 1;
    if (!isLoad) {
      if (adapter === undefined) this.models.delete(model); else adapters.delete(adapter);
      return answer(200);
    }
    answer(202);
    if (adapter === undefined) {
      this.busy = true;
      await sleep(this.engine.loadMs ?? 600);
      this.busy = false;
      this.models.set(model, new Map());
    } else {
      const name = `${model}/${adapter}@${order.version ?? 1}`;
      (this.incoming ??= new Set()).add(name);
      await sleep(250);
      this.incoming.delete(name);
      this.models.get(model)?.set(adapter, order.version ?? 1);
    }
    if (this.heartbeats !== false && !this.isDown) this.beat();
  }
}

/**
 * Writes the same bytes to a connection without end, until the caller closes it.
 * @param socket The connection.
 * @param bytes The bytes.
 * @param pauseMs The pause between two writes; 0 writes as fast as they are read.
 */
export function writeWithoutEnd(socket, bytes, pauseMs = 0) {
  socket.on("error", () => undefined);
  const go = () => {
    while (!socket.destroyed) {
      const hasRoom = socket.write(bytes);
      if (hasRoom && pauseMs > 0) return void setTimeout(go, pauseMs);
      if (!hasRoom) return void socket.once("drain", go);
    }
  };
  go();
}
