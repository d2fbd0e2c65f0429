/** What the scripts share: a small deployment, clients, the record and the end. */
import { Agent, request } from "node:http";
import { createWriteStream } from "node:fs";
import path from "node:path";
import { NodeProcess } from "./node.mjs";
import { Store } from "./store.mjs";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const HOST = "ficu95.example";
export const MODEL = "daka510000";
export const TROUBLE = process.env.TROUBLE !== "0";

/** The engine of the note drafting workers, as the sheet of Kauri Fresh has it. */
const ENGINE = {
  slots: 128, kv_cache_tokens: 150260, kv_bytes: 131072, link_mbps: 280000, moves: true, backups: true, stride: 2, max_count: 12,
  host_memory_mb: 63000, disk_mb: 190000, pin_ms: 4000, hold_ms: 2000, handle_s: 5,
  models: [{ name: MODEL, weight_megabytes: 16100, load_s: 0.6, adapters: 3000, adapter_mb: 14, warm_s: 0.54, disk_s: 0.7 }],
  weight_megabytes: 16700, adapter_slots: 18, loads_per_s: 5,
};
/** Routes like those of Kauri Fresh: streams, of which one kind may be resumed, a safe and an unsafe request. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    { name: "stain-notes", host: HOST, path_prefix: "/stain/", kind: "streaming", timeout_ms: 10000, target_latency_ms: 800, priority: 0, service: "draft-llm", attempts: 1, session_affinity: true, resumable: false, gap_target_ms: 400 },
    { name: "fabric-notes", host: HOST, path_prefix: "/notes/", kind: "streaming", timeout_ms: 12000, target_latency_ms: 1000, priority: 0, service: "draft-llm", attempts: 2, session_affinity: true, resumable: true, gap_target_ms: 400 },
    { name: "roster-fetch", host: HOST, path_prefix: "/roster/", kind: "safe", timeout_ms: 1000, target_latency_ms: 150, priority: 2, service: "booking-app", attempts: 2 },
    { name: "slot-lookup", host: HOST, path_prefix: "/slot/", kind: "unsafe", timeout_ms: 1000, target_latency_ms: 150, priority: 2, service: "booking-app", attempts: 1 },
  ],
  services: [
    { name: "draft-llm", health_path: "/health", connection_limit: 630, protocol: "h1", transport_security: false, engine: ENGINE },
    { name: "booking-app", health_path: "/health", connection_limit: 110, protocol: "h1", transport_security: false },
  ],
  limits: { header_bytes: 16384, body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
};

export class Deployment {
  nodes = [];
  workers = [];
  #begun = Date.now();
  constructor(folder) {
    // A script that can't run says so, and leaves no process behind.
    for (const event of ["uncaughtException", "unhandledRejection", "SIGTERM", "SIGINT"]) {
      process.on(event, (reason) => {
        this.say(`the case couldn't run: ${reason?.stack ?? reason}`);
        void this.end(2);
      });
    }
    this.file = createWriteStream(path.join(folder, "record.txt"));
    this.record(`TROUBLE=${TROUBLE ? 1 : 0}, times in seconds from the start of the script`);
  }
  record(line) {
    this.file.write(`${((Date.now() - this.#begun) / 1000).toFixed(3)} ${line}\n`);
  }
  say(line) {
    this.record(line);
    console.log(line);
  }
  async startStore(configuration = CONFIGURATION) {
    this.store = await new Store().start();
    this.store.put("keyed.op", "config", configuration);
    return this.store;
  }
  async addWorker(worker, port) {
    await worker.start(port);
    this.workers.push(worker);
    this.record(`worker ${worker.id} of ${worker.service}, software ${worker.version}, at 127.0.0.1:${worker.port}`);
    return worker;
  }
  async startNodes(count, storePort = this.store.port) {
    const places = ["akl-hall-a", "akl-hall-b", "ham-hall"];
    for (let n = 0; n < count; n += 1) {
      const node = new NodeProcess({ id: `front-${places[n % 3]}-${n + 1}`, zone: places[n % 3], store: `127.0.0.1:${storePort}` });
      this.nodes.push(node);
      await node.start();
    }
    for (const node of this.nodes) await node.awaitReady();
    // Owners of engines are found, and the nodes know each other.
    await sleep(5000);
    for (const node of this.nodes) this.record(`node ${node.id}, process ${node.child.pid}, takes clients at 127.0.0.1:${node.ports.front}`);
  }
  async end(code) {
    for (const node of this.nodes) {
      if (node.exited !== undefined) this.record(`node ${node.id} ended: code ${node.exited.code}, signal ${node.exited.signal}, peak ${Math.round(node.peakMegabytes)} MB`);
      await node.stop();
    }
    for (const worker of this.workers) {
      for (const run of worker.runs ?? []) this.record(`worker ${worker.id} (${worker.version}) ran ${run.id} from ${((run.at - this.#begun) / 1000).toFixed(3)}${run.complete === true ? ", answer written" : ""}`);
      worker.stop();
    }
    this.store?.stop();
    this.record(`exit ${code}`);
    await new Promise((resolve) => this.file.end(resolve));
    process.exit(code);
  }
}

/** A client that keeps one connection and sends one request after the other on it. */
export class Client {
  results = [];
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #sent = 0;
  constructor(deployment, node, name) {
    Object.assign(this, { deployment, node, name });
  }
  send({ path: url, method = "GET", headers = {}, deadline = 1000, body }) {
    this.#sent += 1;
    const id = `${this.name}.${this.#sent}`;
    const sentAt = Date.now();
    const result = { id, sentAt, kept: false, status: 0, body: "", complete: false };
    this.results.push(result);
    return new Promise((resolve) => {
      let isOver = false;
      const finish = (error) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        result.took = Date.now() - sentAt;
        result.error = error;
        this.deployment.record(`client ${id} ${method} ${url}: ${result.complete ? `status ${result.status}` : `no complete answer (${error ?? "cut"}, status ${result.status})`} after ${result.took} ms${result.kept ? ", on a kept connection" : ""}`);
        resolve(result);
      };
      const outgoing = request({
        host: "127.0.0.1", port: this.node.ports.front, path: url, method, agent: this.#agent,
        headers: { host: HOST, "attempt-id": id, "deadline-milliseconds": String(deadline), ...(body === undefined ? {} : { "content-length": body.length }), ...headers },
      }, (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.setEncoding("utf8");
        response.on("data", (text) => { result.body += text; });
        response.on("error", () => undefined);
        response.on("close", () => { result.complete = response.complete; finish(response.complete ? undefined : "cut"); });
      });
      result.kept = outgoing.reusedSocket;
      outgoing.on("socket", () => { result.kept = outgoing.reusedSocket; });
      outgoing.on("error", (error) => finish(error.code ?? error.message));
      // Clients leave a moment after their deadline.
      const timer = setTimeout(() => { result.left = true; outgoing.destroy(); finish("left"); }, deadline + 2500);
      outgoing.end(body);
    });
  }
  close() { this.#agent.destroy(); }
}

/**
 * Sends requests at a steady pace until it is told to stop, each client one after the other.
 * @returns A function that stops and resolves with all results.
 */
export function steadyLoad(clients, make, pauseMs) {
  let isStopped = false;
  const loops = clients.map(async (client, index) => {
    while (!isStopped) {
      const { complete } = await client.send(make(index));
      await sleep(complete ? pauseMs * 2 * Math.random() : 200);
    }
  });
  return async () => {
    isStopped = true;
    await Promise.all(loops);
    return clients.flatMap((client) => client.results);
  };
}

/**
 * LOST, as written: requests on kept connections that were passed on to a sound worker and
 * whose connection was closed without an answer.
 */
export function countLost(results, worker) {
  const passedOn = new Set(worker.runs.map((run) => run.id));
  return results.filter((one) => one.kept && !one.left && !one.complete && passedOn.has(one.id));
}
