import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { type NodeProcess, startNodes } from "../demo/node_process.ts";
import { postJson, StandInProcess } from "../demo/stand_in_process.ts";
import {
  type EnginePlan,
  EngineProcess,
  engineSettingsText,
} from "./engine_process.ts";

/** Size of the cluster to start. */
export interface FaultClusterSize {
  readonly nodes: number;
  readonly engines: number;
  readonly domains: number;
  readonly adapterSlots: number;
}

/**
 * Nodes, engines and the platform, each in a separate process, so that faults
 * can be injected into each of them alone.
 */
export class FaultCluster {
  readonly platform: StandInProcess;
  readonly #nodes: NodeProcess[];
  readonly #engines: EngineProcess[];
  readonly #folder: string;

  private constructor(
    platform: StandInProcess,
    parts: {
      readonly nodes: NodeProcess[];
      readonly engines: EngineProcess[];
      readonly folder: string;
    },
  ) {
    this.platform = platform;
    this.#nodes = parts.nodes;
    this.#engines = parts.engines;
    this.#folder = parts.folder;
  }

  /**
   * Starts the platform, the engines and the nodes.
   * @param size The cluster's size.
   * @returns The running cluster.
   */
  static async start(size: FaultClusterSize): Promise<FaultCluster> {
    const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-faults-"));
    const platform = await StandInProcess.start([
      "--engines=0",
      `--domains=${size.domains}`,
      "--services=booking",
    ]);
    const engines = await startEngines(size, platform, folder);
    const nodes = await startNodes({
      ...size,
      platform,
      settingsDirectory: folder,
    });
    return new FaultCluster(platform, { nodes, engines, folder });
  }

  /** The nodes; a restarted node keeps its index. */
  get nodes(): readonly NodeProcess[] {
    return this.#nodes;
  }

  /** The engines; a restarted engine keeps its index. */
  get engines(): readonly EngineProcess[] {
    return this.#engines;
  }

  /**
   * Waits for a node's process to exit and starts it again.
   * @param index The node's index.
   */
  async restartNode(index: number): Promise<void> {
    const node = itemAt(this.#nodes, index);
    await node.program.waitForExit();
    this.#nodes[index] = await node.restart();
  }

  /**
   * Waits for an engine's process to exit and starts it again, cold, at
   * the same address.
   * @param index The engine's index.
   */
  async restartEngine(index: number): Promise<void> {
    const { plan, address, standIn } = itemAt(this.#engines, index);
    await standIn.program.waitForExit();
    const port = Number(new URL(address).port);
    this.#engines[index] = await startEngine(plan, port);
  }

  /**
   * Changes the injected faults of the log service.
   * @param faults The faults to change; others stay as they are.
   */
  async setLogFaults(faults: object): Promise<void> {
    const log = this.platform.addressOf("log_service");
    await postJson(`${log}/standin/faults`, faults);
  }

  /**
   * Stops all processes.
   * @returns The exit codes of the nodes.
   */
  async stop(): Promise<readonly (number | null)[]> {
    const codes = await Promise.all(
      this.#nodes.map((node) => node.program.stop()),
    );
    await Promise.all(
      this.#engines.map((engine) => engine.standIn.program.stop()),
    );
    await this.platform.program.stop();
    rmSync(this.#folder, { recursive: true });
    return codes;
  }
}

async function startEngines(
  size: FaultClusterSize,
  platform: StandInProcess,
  folder: string,
): Promise<EngineProcess[]> {
  return await Promise.all(
    Array.from({ length: size.engines }, async (_, index) => {
      const id = `engine-${index + 1}`;
      const engine = await startEngine({
        id,
        failureDomain: `domain-${index % size.domains + 1}`,
        weightStore: platform.addressOf("weight_store"),
        vmList: platform.addressOf("vm_list"),
        adapterSlots: size.adapterSlots,
        // Every second engine ignores fencing numbers, as engines of some
        // deployments do.
        checksFencing: index % 2 === 0,
        settingsFile: path.join(folder, `${id}.ini`),
      }, 0);
      await engine.list();
      return engine;
    }),
  );
}

async function startEngine(
  plan: EnginePlan,
  port: number,
): Promise<EngineProcess> {
  writeFileSync(plan.settingsFile, engineSettingsText(plan, port));
  const standIn = await StandInProcess.start([
    `--settings=${plan.settingsFile}`,
  ]);
  return new EngineProcess(plan, standIn);
}

function itemAt<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) throw new Error(`There is no item ${index}`);
  return item;
}
