import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import type { ChildProgram } from "./child_program.ts";
import { type NodeProcess, startNodes } from "./node_process.ts";
import { type StandInAddress, StandInProcess } from "./stand_in_process.ts";

/** How large a cluster to start. */
export interface DemoClusterSize {
  readonly nodes: number;
  readonly engines: number;
  readonly domains: number;
  readonly services: readonly string[];
  /** More flags of the stand-ins' program. */
  readonly standInFlags: readonly string[];
}

/** Daemons and stand-ins as separate processes on loopback. */
export class DemoCluster {
  readonly nodes: readonly NodeProcess[];
  readonly #standIns: StandInProcess;
  readonly #folder: string;

  private constructor(
    nodes: readonly NodeProcess[],
    standIns: StandInProcess,
    folder: string,
  ) {
    this.nodes = nodes;
    this.#standIns = standIns;
    this.#folder = folder;
  }

  /**
   * Starts stand-ins, then daemons, and lists the daemons as VMs.
   * @param size How large.
   * @returns The running cluster.
   */
  static async start(size: DemoClusterSize): Promise<DemoCluster> {
    const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-demo-"));
    const standIns = await StandInProcess.start(standInParameters(size));
    const nodes = await startNodes({ ...size, platform: standIns, folder });
    return new DemoCluster(nodes, standIns, folder);
  }

  /** The stand-ins and where they listen. */
  get standIns(): readonly StandInAddress[] {
    return this.#standIns.standIns;
  }

  /** The process that the stand-ins share. */
  get standInProgram(): ChildProgram {
    return this.#standIns.program;
  }

  /**
   * Finds a stand-in's address.
   * @param kind Its kind.
   * @returns `http://` with IP literal and port.
   */
  addressOf(kind: string): string {
    return this.#standIns.addressOf(kind);
  }

  /** Stops the daemons, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.program.stop()));
    await this.#standIns.program.stop();
    rmSync(this.#folder, { recursive: true });
  }
}

function standInParameters(size: DemoClusterSize): readonly string[] {
  return [
    "--domains",
    String(size.domains),
    "--engines",
    String(size.engines),
    ...size.services.map((service) => `--services=${service}`),
    ...size.standInFlags,
  ];
}
