/**
 * A small deployment on loopback addresses: the store, workers, and nodes of
 * the project, started with the run command of deploy/system.toml. All of them
 * are separate processes, ended by `stop`.
 */
import { fork, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = resolve(HERE, "../..");
/** `memory_mb` of a machine of the site. */
export const MEMORY_MB = 350;
/** A crashed worker's entry goes after three heartbeats. */
const WORKER_RESTART_MS = 3_600;
export const HOST = "ficu95.example";

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((done, fail) => {
        const server = createServer();
        server.once("error", fail);
        server.listen(0, "127.0.0.1", () => done(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}

/** The run command of the only role in deploy/system.toml. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

export class Deployment {
  #directory = mkdtempSync(join(tmpdir(), "foxtailwind-review-"));
  #children = new Set();
  #listeners = [];
  #isStopping = false;
  nodes = [];
  workers = new Map();
  /** Lines of record.txt. */
  #lines = [];
  #startedAt = Date.now();

  record(line) {
    if (this.#isStopping) return;
    this.#lines.push(
      `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${line}`,
    );
  }

  writeRecord(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }

  /** Calls a function with each message of a worker. */
  onWorkerMessage(listener) {
    this.#listeners.push(listener);
  }

  #fork(program, args) {
    const child = fork(join(HERE, program), args, {
      stdio: ["ignore", "inherit", "inherit", "ipc"],
    });
    this.#children.add(child);
    child.on("exit", () => this.#children.delete(child));
    return child;
  }

  #first(child) {
    return new Promise((done) => child.once("message", done));
  }

  async startStore() {
    this.store = this.#fork("store.mjs", []);
    this.storePort = (await this.#first(this.store)).port;
  }

  put(topic, key, value) {
    this.store.send({ put: { topic, key, value } });
  }

  async startWorker(id, service, options) {
    const child = this.#fork("worker.mjs", [id, JSON.stringify(options)]);
    const { port, born } = await this.#first(child);
    const worker = { id, service, child, port, born, slots: options.slots };
    this.workers.set(id, worker);
    child.on("message", (message) => {
      if (message.models !== undefined) Object.assign(worker, message);
      for (const listener of this.#listeners) listener(worker, message);
    });
    child.on("exit", () => this.#replaceWorker(worker, options));
    this.beat(worker);
    worker.timer = setInterval(() => this.beat(worker), 1200);
    return worker;
  }

  beat({ id, service, port, born, slots, models, sequence }, state = "ready") {
    this.put("keyed.servers", id, {
      service,
      address: `127.0.0.1:${port}`,
      zone: "akl-hall-a",
      version: "v1",
      slots,
      state,
      cold_remaining_ms: 0,
      stage: "both",
      models: models ??
        (service === "draft-llm"
          ? [{ name: "m0", version: 1, adapters: [] }]
          : []),
      sequence: sequence ?? 0,
      born,
    });
  }

  /** A crashed worker says nothing more, and another one starts in its place. */
  async #replaceWorker({ id, service, timer }, options) {
    clearInterval(timer);
    if (this.#isStopping) return;
    this.record(`${id} has crashed`);
    await sleep(WORKER_RESTART_MS);
    if (this.#isStopping) return;
    this.put("keyed.servers", id, null);
    this.workers.delete(id);
    const [, base, run = "1"] = /^(.*?)(?:-run(\d+))?$/.exec(id);
    await this.startWorker(`${base}-run${Number(run) + 1}`, service, options);
  }

  /** The operator names a new version of an adapter. */
  nameVersion(adapter, version) {
    for (const { child } of this.workers.values()) {
      child.send({ newest: { adapter, version } });
    }
    this.put("keyed.op", `version/m0.${adapter}`, {
      model: "m0",
      adapter,
      version,
    });
  }

  async addNode(name, zone) {
    const [callers, readiness, addresses, peers, metrics] = await freePorts(5);
    const path = join(this.#directory, `${name}.ini`);
    // The template deploy/settings.ini with the site's bounds.
    writeFileSync(
      path,
      `
[node]
id = ${name}
failure_domain = ${zone}
[vm]
processor_share = 0.675
processor_speed = 1
[listen]
callers = 127.0.0.1:${callers}
readiness = 127.0.0.1:${readiness}
addresses = 127.0.0.1:${addresses}
peers = 127.0.0.1:${peers}
metrics = 127.0.0.1:${metrics}
[platform]
store = 127.0.0.1:${this.storePort}
[retries]
share = 0.2
reserve = 58
window_seconds = 10
[engines]
lease_milliseconds = 3000
[stop]
grace_seconds = 8
[accounts]
[addresses]
longest_lifetime_seconds = 5
`,
    );
    const node = {
      name,
      path,
      callers,
      readiness,
      peakMb: 0,
      ends: [],
      logs: [],
    };
    this.nodes.push(node);
    this.startNode(node);
    return node;
  }

  /** Starts a node's process, and again after each end, as the platform does. */
  startNode(node) {
    const [program, ...args] = runCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        FOXTAILWIND_BOOT: node.path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    node.child = child;
    this.#children.add(child);
    const keep = (chunk) => {
      node.logs.push(chunk.toString());
      if (node.logs.length > 2000) node.logs.shift();
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      this.#children.delete(child);
      if (this.#isStopping) return;
      node.ends.push(node.killedFor ?? `code ${code} signal ${signal}`);
      this.record(
        `${node.name} ended: ${
          node.killedFor ?? `code ${code} signal ${signal}`
        }`,
      );
      node.killedFor = undefined;
      if (node.isDown === true) return;
      setTimeout(() => {
        if (!this.#isStopping) this.startNode(node);
      }, 300);
    });
  }

  /** Kills a node that exceeds its memory, as the platform does. */
  watchMemory() {
    this.memoryTimer = setInterval(() => {
      for (const node of this.nodes) {
        const megabytes = residentMegabytes(node.child.pid);
        node.peakMb = Math.max(node.peakMb, megabytes);
        if (megabytes > MEMORY_MB && node.killedFor === undefined) {
          node.killedFor = `over the memory limit: ${
            megabytes.toFixed(0)
          } of ${MEMORY_MB} MB`;
          node.child.kill("SIGKILL");
        }
      }
    }, 20);
  }

  async awaitReady() {
    for (const node of this.nodes) {
      for (let tries = 0;; tries += 1) {
        const status = await fetch(
          `http://127.0.0.1:${node.readiness}/foxtailwind/readiness`,
        )
          .then((response) => response.status, () => 0);
        if (status === 200) break;
        if (tries > 200) throw new Error(`${node.name} isn't ready`);
        await sleep(50);
      }
    }
  }

  async stop() {
    this.#isStopping = true;
    clearInterval(this.memoryTimer);
    for (const { timer } of this.workers.values()) clearInterval(timer);
    const ends = [...this.#children].map((child) =>
      new Promise((done) => child.once("exit", done))
    );
    for (const child of this.#children) child.kill("SIGKILL");
    await Promise.all(ends);
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

function residentMegabytes(pid) {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** A configuration like that of the site, with its limits. */
export function configuration(version, routes, { adapterMegabytes = 14 } = {}) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      priority: 0,
      attempts: 1,
      ...route,
    })),
    services: [
      {
        name: "draft-llm",
        health_path: "/health",
        connection_limit: 630,
        protocol: "h1",
        transport_security: false,
        engine: {
          slots: 128,
          kv_cache_tokens: 150260,
          models: [{
            name: "m0",
            weight_megabytes: 16100,
            load_s: 0.6,
            adapters: 3000,
            adapter_mb: adapterMegabytes,
          }],
          weight_megabytes: 16700,
          adapter_slots: 18,
          loads_per_s: 5,
        },
      },
      {
        name: "booking-app",
        health_path: "/health",
        connection_limit: 110,
        protocol: "h1",
        transport_security: false,
      },
    ],
    limits: {
      header_bytes: 16384,
      body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}
