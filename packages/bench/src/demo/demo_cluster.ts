import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import type { ChildProgram } from "./child_program.ts";
import { type NodeProcess, startNodes } from "./node_process.ts";
import { type StandInAddress, StandInProcess } from "./stand_in_process.ts";

/** The size of the cluster and the flags of its stand-ins. */
export interface DemoClusterOptions {
  readonly nodeCount: number;
  readonly engineCount: number;
  readonly failureDomainCount: number;
  readonly serviceNames: readonly string[];
  /** Additional command-line flags of the stand-in program. */
  readonly standInFlags: readonly string[];
}

/** Daemons and stand-ins that run as separate processes on loopback. */
export class DemoCluster {
  readonly nodes: readonly NodeProcess[];
  readonly #standIns: StandInProcess;
  readonly #settingsDirectory: string;

  private constructor(
    nodes: readonly NodeProcess[],
    standIns: StandInProcess,
    settingsDirectory: string,
  ) {
    this.nodes = nodes;
    this.#standIns = standIns;
    this.#settingsDirectory = settingsDirectory;
  }

  /**
   * Starts the stand-ins, then the daemons, and adds the daemons to the VM
   * list.
   * @param options The size of the cluster.
   * @returns The running cluster.
   */
  static async start(options: DemoClusterOptions): Promise<DemoCluster> {
    const settingsDirectory = mkdtempSync(
      path.join(tmpdir(), "foxtailwind-demo-"),
    );
    const standIns = await StandInProcess.start(standInArguments(options));
    const nodes = await startNodes({
      nodes: options.nodeCount,
      domains: options.failureDomainCount,
      platform: standIns,
      settingsDirectory: settingsDirectory,
    });
    return new DemoCluster(nodes, standIns, settingsDirectory);
  }

  /** The stand-ins and their addresses. */
  get standIns(): readonly StandInAddress[] {
    return this.#standIns.standIns;
  }

  /** The process that runs all stand-ins. */
  get standInProgram(): ChildProgram {
    return this.#standIns.program;
  }

  /**
   * Returns the address of the first stand-in of a kind.
   * @param kind The kind of stand-in.
   * @returns An `http://` URL with IP literal and port.
   */
  addressOf(kind: string): string {
    return this.#standIns.addressOf(kind);
  }

  /** Stops the daemons, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.program.stop()));
    await this.#standIns.program.stop();
    rmSync(this.#settingsDirectory, { recursive: true });
  }
}

function standInArguments(options: DemoClusterOptions): readonly string[] {
  return [
    "--domains",
    String(options.failureDomainCount),
    "--engines",
    String(options.engineCount),
    ...options.serviceNames.map((service) => `--services=${service}`),
    ...options.standInFlags,
  ];
}
