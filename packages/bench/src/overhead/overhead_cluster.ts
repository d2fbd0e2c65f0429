import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { listNodes, NodeProcess } from "../demo/node_process.ts";
import { postJson, StandInProcess } from "../demo/stand_in_process.ts";

/** Parameters of the cluster to start. */
export interface OverheadClusterPlan {
  readonly engines: number;
  readonly adapters: readonly string[];
  readonly className: string;
  /** `name=value` settings of the engines. */
  readonly engineSettings: readonly string[];
}

/** One node, and engines that each run in a separate process. */
export class OverheadCluster {
  readonly node: NodeProcess;
  readonly engines: readonly string[];
  readonly #processes: readonly StandInProcess[];
  readonly #folder: string;

  private constructor(parts: {
    readonly node: NodeProcess;
    readonly engines: readonly string[];
    readonly processes: readonly StandInProcess[];
    readonly folder: string;
  }) {
    this.node = parts.node;
    this.engines = parts.engines;
    this.#processes = parts.processes;
    this.#folder = parts.folder;
  }

  /**
   * Starts the platform, the engines with all adapters loaded, and a node.
   * @param plan The cluster's parameters.
   * @returns The running cluster, with its configuration published.
   */
  static async start(plan: OverheadClusterPlan): Promise<OverheadCluster> {
    const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-overhead-"));
    const platform = await StandInProcess.start(["--engines=0"]);
    const vmList = platform.addressOf("vm_list");
    const engineProcesses = await Promise.all(
      Array.from({ length: plan.engines }, () => startEngine(plan)),
    );
    const engines = engineProcesses.map((one) => one.addressOf("engine"));
    await placeAdapters(engines, plan.adapters);
    await listEngines(vmList, engines);
    const node = await NodeProcess.start({
      id: "node-1",
      failureDomain: "domain-1",
      log: platform.addressOf("log_service"),
      vmList,
      weightStore: platform.addressOf("weight_store"),
      settingsDirectory: folder,
    });
    await listNodes(vmList, [node]);
    await publish(`http://${node.http}`, plan);
    const processes = [platform, ...engineProcesses];
    return new OverheadCluster({ node, engines, processes, folder });
  }

  /** Stops the node, then the stand-ins. */
  async stop(): Promise<void> {
    await this.node.program.stop();
    await Promise.all(this.#processes.map((one) => one.program.stop()));
    rmSync(this.#folder, { recursive: true });
  }
}

async function startEngine(plan: OverheadClusterPlan): Promise<StandInProcess> {
  return await StandInProcess.start([
    "--engines=1",
    ...plan.engineSettings.map((setting) => `--engine-setting=${setting}`),
  ]);
}

async function placeAdapters(
  engines: readonly string[],
  names: readonly string[],
): Promise<void> {
  const adapters = names.map((name) => {
    const [adapter, version] = name.split("@");
    return { adapter, version };
  });
  for (const engine of engines) {
    await postJson(`${engine}/standin/adapters`, { adapters });
  }
}

async function listEngines(
  vmList: string,
  engines: readonly string[],
): Promise<void> {
  const vms = engines.map((address, index) => ({
    id: `engine-${index + 1}`,
    address: new URL(address).host,
    region: "region-1",
    failureDomain: "domain-1",
    role: { kind: "engine", model: "base", checksFencing: true },
    state: "live",
  }));
  await postJson(`${vmList}/standin/vms`, { vms });
}

async function publish(
  node: string,
  plan: OverheadClusterPlan,
): Promise<void> {
  const adapters = plan.adapters.map((name) => {
    const [adapter, version] = name.split("@");
    return {
      kind: "set_adapter",
      adapter,
      model: "base",
      versions: [version],
      current: version,
    };
  });
  const target = { firstTokenMilliseconds: 60_000 };
  const changes = [
    { kind: "set_class", class: plan.className, target },
    ...adapters,
  ];
  await postJson(`${node}/v1/operators/configuration`, { changes });
}
