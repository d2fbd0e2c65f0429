import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import { ChildProgram } from "./child_program.ts";

/** How large a cluster to start. */
export interface DemoClusterSize {
  readonly nodes: number;
  readonly engines: number;
  readonly domains: number;
  readonly services: readonly string[];
  /** More flags of the stand-ins' program. */
  readonly standInFlags: readonly string[];
}

/** A stand-in's address, as its program prints it. */
export interface StandInAddress {
  readonly kind: string;
  readonly id: string;
  readonly address: string;
}

/** A daemon that runs. */
export interface DemoNode {
  readonly id: string;
  readonly program: ChildProgram;
  /** IP literal and port of its HTTP interface. */
  readonly http: string;
  readonly grpc: string;
  readonly failureDomain: string;
}

const standInLine = z.object({
  kind: z.string(),
  id: z.string().default(""),
  address: z.string().default(""),
});

const readyLine = z.object({
  ready: z.object({ http: z.string(), grpc: z.string() }),
});

/** Daemons and stand-ins as separate processes on loopback. */
export class DemoCluster {
  readonly nodes: readonly DemoNode[];
  readonly standIns: readonly StandInAddress[];
  readonly standInProgram: ChildProgram;
  readonly #folder: string;

  private constructor(parts: {
    readonly nodes: readonly DemoNode[];
    readonly standIns: readonly StandInAddress[];
    readonly standInProgram: ChildProgram;
    readonly folder: string;
  }) {
    this.nodes = parts.nodes;
    this.standIns = parts.standIns;
    this.standInProgram = parts.standInProgram;
    this.#folder = parts.folder;
  }

  /**
   * Starts stand-ins, then daemons, and lists the daemons as VMs.
   * @param size How large.
   * @returns The running cluster.
   */
  static async start(size: DemoClusterSize): Promise<DemoCluster> {
    const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-demo-"));
    const standInProgram = new ChildProgram(
      "foxtailwind-standins",
      programPath("@foxtailwind/standins"),
      standInParameters(size),
    );
    const standIns = await readStandIns(standInProgram);
    const nodes = await Promise.all(
      Array.from(
        { length: size.nodes },
        (_, index) => startNode({ index, size, standIns, folder }),
      ),
    );
    const cluster = new DemoCluster({
      nodes,
      standIns,
      standInProgram,
      folder,
    });
    await cluster.#listNodes();
    return cluster;
  }

  /**
   * Finds a stand-in's address.
   * @param kind Its kind.
   * @returns `http://` with IP literal and port.
   */
  addressOf(kind: string): string {
    return findAddress(this.standIns, kind);
  }

  /** Stops the daemons, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.program.stop()));
    await this.standInProgram.stop();
    rmSync(this.#folder, { recursive: true });
  }

  async #listNodes(): Promise<void> {
    const vms = this.nodes.map((node) => ({
      id: node.id,
      address: node.http,
      peerAddress: node.grpc,
      region: "region-1",
      failureDomain: node.failureDomain,
      role: { kind: "entry" },
      state: "live",
    }));
    await fetch(`${this.addressOf("vm_list")}/standin/vms`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ vms }),
    });
  }
}

/**
 * Finds the compiled entry script of a package's program.
 * @param name The package's name.
 * @returns The script's path.
 */
export function programPath(name: string): string {
  const entry = fileURLToPath(import.meta.resolve(name));
  return path.join(path.dirname(entry), "main.js");
}

function standInParameters(size: DemoClusterSize): readonly string[] {
  return [
    "--domains",
    String(size.domains),
    "--engines",
    String(size.engines),
    ...size.services.flatMap((service) => ["--services", service]),
    ...size.standInFlags,
  ];
}

async function readStandIns(
  program: ChildProgram,
): Promise<readonly StandInAddress[]> {
  const found: StandInAddress[] = [];
  for (;;) {
    const line = standInLine.parse(await program.nextLine());
    if (line.kind === "ready") return found;
    found.push(line);
  }
}

function findAddress(
  standIns: readonly StandInAddress[],
  kind: string,
): string {
  const found = standIns.find((standIn) => standIn.kind === kind);
  if (found === undefined) throw new Error(`No stand-in of kind ${kind} runs`);
  return found.address;
}

async function startNode({ index, size, standIns, folder }: {
  readonly index: number;
  readonly size: DemoClusterSize;
  readonly standIns: readonly StandInAddress[];
  readonly folder: string;
}): Promise<DemoNode> {
  const id = `node-${index + 1}`;
  const failureDomain = `domain-${index % size.domains + 1}`;
  const file = path.join(folder, `${id}.ini`);
  writeFileSync(
    file,
    `[node]
id = ${id}
region = region-1
failure_domain = ${failureDomain}

[listen]
http = 127.0.0.1:0
grpc = 127.0.0.1:0

[platform]
log = ${findAddress(standIns, "log_service")}
vm_list = ${findAddress(standIns, "vm_list")}
weight_store = ${findAddress(standIns, "weight_store")}

[logs]
level = warn
`,
  );
  const program = new ChildProgram(id, programPath("@foxtailwind/node"), [
    "--settings",
    file,
  ]);
  const { ready } = readyLine.parse(await program.nextLine());
  return { id, program, ...ready, failureDomain };
}
