import { writeFileSync } from "node:fs";
import path from "node:path";
import * as z from "zod";
import { ChildProgram } from "./child_program.ts";
import { programPath } from "./program_path.ts";
import { postJson, type StandInProcess } from "./stand_in_process.ts";

/** What a daemon is started with. */
export interface NodePlan {
  readonly id: string;
  readonly failureDomain: string;
  /** `http://` addresses of the platform's services. */
  readonly log: string;
  readonly vmList: string;
  readonly weightStore: string;
  /** Where its settings file goes. */
  readonly folder: string;
}

const readyLine = z.object({
  ready: z.object({ http: z.string(), grpc: z.string() }),
});

/** Those in the first line of the daemon's entry script. */
const RUNTIME_FLAGS = ["--max-semi-space-size=64"];
const ANY_PORT = "127.0.0.1:0";

/** A daemon as a process of its own. */
export class NodeProcess {
  readonly id: string;
  readonly failureDomain: string;
  /** IP literal and port of its HTTP interface. */
  readonly http: string;
  /** IP literal and port of its interface for peers. */
  readonly grpc: string;
  readonly program: ChildProgram;
  readonly #plan: NodePlan;

  private constructor(
    plan: NodePlan,
    program: ChildProgram,
    ready: { readonly http: string; readonly grpc: string },
  ) {
    this.id = plan.id;
    this.failureDomain = plan.failureDomain;
    this.http = ready.http;
    this.grpc = ready.grpc;
    this.program = program;
    this.#plan = plan;
  }

  /**
   * Starts a daemon and waits until it is ready.
   * @param plan What to start it with.
   * @param listen Its addresses; by default free ports.
   * @returns The running daemon.
   */
  static async start(
    plan: NodePlan,
    listen = { http: ANY_PORT, grpc: ANY_PORT },
  ): Promise<NodeProcess> {
    const file = path.join(plan.folder, `${plan.id}.ini`);
    writeFileSync(file, settingsText(plan, listen));
    const program = new ChildProgram(
      plan.id,
      programPath("@foxtailwind/node"),
      ["--settings", file],
      RUNTIME_FLAGS,
    );
    const { ready } = readyLine.parse(await program.nextLine());
    return new NodeProcess(plan, program, ready);
  }

  /**
   * Starts the daemon anew at the same addresses, after it ended.
   * @returns The running daemon.
   */
  async restart(): Promise<NodeProcess> {
    return await NodeProcess.start(this.#plan, {
      http: this.http,
      grpc: this.grpc,
    });
  }
}

/** How many daemons to start, and where. */
export interface NodesPlan {
  readonly nodes: number;
  readonly domains: number;
  /** The stand-ins of the platform. */
  readonly platform: StandInProcess;
  /** Where the settings files go. */
  readonly folder: string;
}

/**
 * Starts daemons, spread evenly over the failure domains, and lists them as
 * live entry VMs.
 * @param plan How many, and where.
 * @returns The running daemons.
 */
export async function startNodes(plan: NodesPlan): Promise<NodeProcess[]> {
  const { domains, platform, folder } = plan;
  const vmList = platform.addressOf("vm_list");
  const nodes = await Promise.all(
    Array.from({ length: plan.nodes }, (_, index) =>
      NodeProcess.start({
        id: `node-${index + 1}`,
        failureDomain: `domain-${index % domains + 1}`,
        log: platform.addressOf("log_service"),
        vmList,
        weightStore: platform.addressOf("weight_store"),
        folder,
      })),
  );
  await listNodes(vmList, nodes);
  return nodes;
}

/**
 * Lists daemons as live entry VMs.
 * @param vmList The VM list stand-in's `http://` address.
 * @param nodes The daemons.
 */
export async function listNodes(
  vmList: string,
  nodes: readonly NodeProcess[],
): Promise<void> {
  await postJson(`${vmList}/standin/vms`, { vms: nodes.map(describeNode) });
}

function describeNode(node: NodeProcess): object {
  return {
    id: node.id,
    address: node.http,
    peerAddress: node.grpc,
    region: "region-1",
    failureDomain: node.failureDomain,
    role: { kind: "entry" },
    state: "live",
  };
}

function settingsText(
  plan: NodePlan,
  listen: { readonly http: string; readonly grpc: string },
): string {
  return `[node]
id = ${plan.id}
region = region-1
failure_domain = ${plan.failureDomain}

[listen]
http = ${listen.http}
grpc = ${listen.grpc}

[platform]
log = ${plan.log}
vm_list = ${plan.vmList}
weight_store = ${plan.weightStore}

[logs]
level = warn
`;
}
