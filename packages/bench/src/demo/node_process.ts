import { writeFileSync } from "node:fs";
import path from "node:path";
import * as z from "zod";
import { ChildProgram } from "./child_program.ts";
import { programPath } from "./program_path.ts";
import { postJson, type StandInProcess } from "./stand_in_process.ts";

/** Options of a daemon process. */
export interface NodeProcessOptions {
  readonly id: string;
  readonly failureDomain: string;
  /** The `http://` URL of the platform's log service. */
  readonly log: string;
  /** The `http://` URL of the VM list. */
  readonly vmList: string;
  /** The `http://` URL of the weight store. */
  readonly weightStore: string;
  /** The directory of the settings file. */
  readonly settingsDirectory: string;
}

const readyLineSchema = z.object({
  ready: z.object({ http: z.string(), grpc: z.string() }),
});

/** The same flags as in the first line of the daemon's entry script. */
const RUNTIME_FLAGS = ["--max-semi-space-size=64"];
const FREE_LOOPBACK_PORT = "127.0.0.1:0";

/** A daemon that runs as a separate process. */
export class NodeProcess {
  readonly id: string;
  readonly failureDomain: string;
  /** IP literal and port of the HTTP interface. */
  readonly http: string;
  /** IP literal and port of the gRPC interface for peers. */
  readonly grpc: string;
  readonly program: ChildProgram;
  readonly #options: NodeProcessOptions;

  private constructor(
    options: NodeProcessOptions,
    program: ChildProgram,
    addresses: { readonly http: string; readonly grpc: string },
  ) {
    this.id = options.id;
    this.failureDomain = options.failureDomain;
    this.http = addresses.http;
    this.grpc = addresses.grpc;
    this.program = program;
    this.#options = options;
  }

  /**
   * Starts a daemon and waits until it is ready.
   * @param options The options of the daemon.
   * @param listen The addresses to listen on; by default free ports on
   * loopback.
   * @returns The running daemon.
   */
  static async start(
    options: NodeProcessOptions,
    listen = { http: FREE_LOOPBACK_PORT, grpc: FREE_LOOPBACK_PORT },
  ): Promise<NodeProcess> {
    const settingsFile = path.join(
      options.settingsDirectory,
      `${options.id}.ini`,
    );
    writeFileSync(settingsFile, formatSettings(options, listen));
    const program = new ChildProgram(
      options.id,
      programPath("@foxtailwind/node"),
      ["--settings", settingsFile],
      RUNTIME_FLAGS,
    );
    const { ready } = readyLineSchema.parse(await program.nextLine());
    return new NodeProcess(options, program, ready);
  }

  /**
   * Restarts the daemon at the same addresses after it has exited.
   * @returns The running daemon.
   */
  async restart(): Promise<NodeProcess> {
    return await NodeProcess.start(this.#options, {
      http: this.http,
      grpc: this.grpc,
    });
  }
}

/** Options for starting several daemons. */
export interface NodesOptions {
  readonly nodes: number;
  readonly domains: number;
  /** The stand-ins for the platform's services. */
  readonly platform: StandInProcess;
  /** The directory of the settings files. */
  readonly settingsDirectory: string;
}

/**
 * Starts daemons, distributed evenly over the failure domains, and publishes
 * them on the VM list as live entry VMs.
 * @param options The number of daemons and their environment.
 * @returns The running daemons.
 */
export async function startNodes(
  options: NodesOptions,
): Promise<NodeProcess[]> {
  const { domains, platform, settingsDirectory: folder } = options;
  const vmList = platform.addressOf("vm_list");
  const nodes = await Promise.all(
    Array.from({ length: options.nodes }, (_, index) =>
      NodeProcess.start({
        id: `node-${index + 1}`,
        failureDomain: `domain-${index % domains + 1}`,
        log: platform.addressOf("log_service"),
        vmList,
        weightStore: platform.addressOf("weight_store"),
        settingsDirectory: folder,
      })),
  );
  await listNodes(vmList, nodes);
  return nodes;
}

/**
 * Publishes daemons on the VM list as live entry VMs.
 * @param vmList The `http://` URL of the VM list stand-in.
 * @param nodes The daemons to publish.
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

function formatSettings(
  options: NodeProcessOptions,
  listen: { readonly http: string; readonly grpc: string },
): string {
  return `[node]
id = ${options.id}
region = region-1
failure_domain = ${options.failureDomain}

[listen]
http = ${listen.http}
grpc = ${listen.grpc}

[platform]
log = ${options.log}
vm_list = ${options.vmList}
weight_store = ${options.weightStore}

[logs]
level = warn
`;
}
