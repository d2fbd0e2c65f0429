/** Starts nodes with the run command and the settings template of the deploy file. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";

export const REPOSITORY = path.resolve(import.meta.dirname, "../..");
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Finds a free port below those that outgoing connections take. */
export async function freePort(host) {
  for (;;) {
    const port = 11_000 + Math.floor(Math.random() * 20_000);
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

function render(template, fields) {
  const find = (name) => name.split(".").reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, content) => find(name) === undefined ? "" : content)
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(find(name) ?? ""));
}

export class NodeProcess {
  lines = [];
  peakMegabytes = 0;
  constructor({ id, zone, store, memoryMegabytes = 350, processorShare = 0.675 }) {
    Object.assign(this, { id, zone, storeAddress: store, memoryMegabytes, processorShare });
    this.host = "127.0.0.1";
  }
  async start() {
    const { host } = this;
    this.ports ??= {
      front: await freePort(host), ready: await freePort(host), directory: await freePort(host),
      peers: await freePort(host), metrics: await freePort(host),
    };
    this.directory ??= mkdtempSync(path.join(tmpdir(), "foxtailwind-review-"));
    const file = path.join(this.directory, "boot.ini");
    // The template puts the metrics at a fixed port; several nodes share one address here.
    const text = render(readFileSync(path.join(REPOSITORY, "deploy/settings.ini"), "utf8"), {
      node: this.id, zone: this.zone, ip_address: host, internal_ports: [this.ports.peers],
      limits: { cpu_share: this.processorShare, cores: 1, memory_mb: this.memoryMegabytes, file_descriptors: 4100 },
      listen: { front: `${host}:${this.ports.front}`, ready: `${host}:${this.ports.ready}`, directory: `${host}:${this.ports.directory}` },
      platform: { address: this.storeAddress },
      bounds: { budget_ratio: 0.2, budget_extra_tries: 58, budget_window_s: 10, lease_ms: 3000, grace_s: 8, ttl_max_s: 5 },
    }).replace(":9464", `:${this.ports.metrics}`);
    writeFileSync(file, text);
    const command = /^run = "(.*)"$/m.exec(readFileSync(path.join(REPOSITORY, "deploy/system.toml"), "utf8"))[1].split(" ");
    this.exited = undefined;
    this.child = spawn(command[0], command.slice(1), {
      cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, FOXTAILWIND_BOOT: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = this.child;
    child.once("exit", (code, signal) => { if (this.child === child) this.exited = { code, signal, at: Date.now() }; });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => { this.lines.push(chunk.toString()); if (this.lines.length > 20_000) this.lines.splice(0, 10_000); });
    }
    clearInterval(this.sampler);
    this.sampler = setInterval(() => this.#sample(), 20);
  }
  get alive() { return this.exited === undefined; }
  #sample() {
    if (!this.alive) return;
    let text = "";
    try { text = readFileSync(`/proc/${this.child.pid}/status`, "utf8"); } catch { return; }
    const megabytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1] ?? 0) / 1024;
    this.peakMegabytes = Math.max(this.peakMegabytes, megabytes);
    // DEPLOY.md: "A process that exceeds `memory_mb` is killed."
    if (megabytes > this.memoryMegabytes) { this.killedAtMegabytes ??= megabytes; this.child.kill("SIGKILL"); }
  }
  async ready(timeout = 1000) {
    const answer = await fetch(`http://${this.host}:${this.ports.ready}/foxtailwind/readiness`, { signal: AbortSignal.timeout(timeout) }).catch(() => undefined);
    await answer?.arrayBuffer().catch(() => undefined);
    return answer?.status === 200;
  }
  async awaitReady(limit = 20_000) {
    const until = Date.now() + limit;
    while (Date.now() < until) { if (await this.ready()) return; await sleep(50); }
    throw new Error(`node ${this.id} is not ready: ${this.lines.join("").slice(-2000)}`);
  }
  async stop() {
    clearInterval(this.sampler);
    if (this.child !== undefined && this.alive) {
      const ended = new Promise((resolve) => this.child.once("exit", resolve));
      this.child.kill("SIGKILL");
      await ended;
    }
    if (this.directory !== undefined) rmSync(this.directory, { recursive: true, force: true });
  }
}
