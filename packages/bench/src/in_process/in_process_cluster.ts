import { failureDomainId, regionId } from "@foxtailwind/core";
import type { Vm } from "@foxtailwind/edges";
import {
  Daemon,
  type DaemonAddresses,
  LoggerFactory,
  parseSettings,
} from "@foxtailwind/node";
import {
  FakeLogService,
  type FakeLogServiceSettings,
  FakeVmList,
} from "@foxtailwind/standins";

/** The verbosity that suppresses all log lines. */
const SILENT_VERBOSITY = -1;
const REGION = "region-1";

/** The size of a cluster of in-process daemons, and its log's settings. */
export interface InProcessClusterSize {
  readonly nodes: number;
  readonly domains: number;
  readonly log?: Partial<FakeLogServiceSettings>;
}

/** A daemon that runs in this process. */
export interface InProcessNode {
  readonly id: string;
  readonly failureDomain: string;
  readonly daemon: Daemon;
  readonly addresses: DaemonAddresses;
}

/** Daemons and stand-ins of the platform in one process, on loopback. */
export class InProcessCluster {
  readonly log: FakeLogService;
  readonly vmList: FakeVmList;
  readonly #platformSettings: string;
  readonly #nodes = new Map<string, InProcessNode>();

  private constructor(parts: {
    readonly log: FakeLogService;
    readonly vmList: FakeVmList;
    readonly platform: string;
  }) {
    this.log = parts.log;
    this.vmList = parts.vmList;
    this.#platformSettings = parts.platform;
  }

  /** The running nodes. */
  get nodes(): readonly InProcessNode[] {
    return [...this.#nodes.values()];
  }

  /**
   * Starts the stand-ins and the daemons.
   * @param size The size of the cluster.
   * @returns The running cluster.
   */
  static async start(size: InProcessClusterSize): Promise<InProcessCluster> {
    const log = new FakeLogService(size.log);
    const vmList = new FakeVmList({ lagMilliseconds: 0 });
    const platform = `[platform]
log = ${await log.listen()}
vm_list = ${await vmList.listen()}
weight_store = http://127.0.0.1:1

[addresses]
lifetime_seconds = 1
`;
    const cluster = new InProcessCluster({ log, vmList, platform });
    for (let index = 0; index < size.nodes; index += 1) {
      await cluster.startNode(
        `node-${index + 1}`,
        `domain-${index % size.domains + 1}`,
      );
    }
    await Promise.all(
      cluster.nodes.map((node) => node.daemon.directory.refresh()),
    );
    return cluster;
  }

  /**
   * Starts another daemon and adds it to the VM list.
   * @param id The id of the node.
   * @param failureDomain The failure domain of the node.
   * @param options The log's address, if not that of the stand-in.
   * @returns The running node.
   */
  async startNode(
    id: string,
    failureDomain: string,
    options: { readonly log?: string } = {},
  ): Promise<InProcessNode> {
    const platformSettings = options.log === undefined
      ? this.#platformSettings
      : this.#platformSettings.replace(/^log = .*$/m, `log = ${options.log}`);
    const settings = parseSettings(
      `[node]
id = ${id}
region = ${REGION}
failure_domain = ${failureDomain}

[listen]
http = 127.0.0.1:0
grpc = 127.0.0.1:0

${platformSettings}`,
      `${id}.ini`,
    );
    const daemon = new Daemon(
      settings._unsafeUnwrap(),
      new LoggerFactory("human", SILENT_VERBOSITY),
    );
    const addresses = await daemon.start();
    const node: InProcessNode = { id, failureDomain, daemon, addresses };
    this.#nodes.set(id, node);
    this.vmList.setVm(vmEntry(node));
    return node;
  }

  /**
   * Removes a daemon from the VM list and stops it.
   * @param id The id of the node.
   */
  async stopNode(id: string): Promise<void> {
    const node = this.#nodes.get(id);
    this.#nodes.delete(id);
    this.vmList.removeVm(id);
    await node?.daemon.stop();
  }

  /** Stops the daemons, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(({ daemon }) => daemon.stop()));
    await this.log.close();
    await this.vmList.close();
  }
}

function vmEntry(node: InProcessNode): Vm {
  return {
    id: node.id,
    address: node.addresses.http,
    peerAddress: node.addresses.grpc,
    region: regionId(REGION),
    failureDomain: failureDomainId(node.failureDomain),
    role: { kind: "entry" },
    state: "live",
  };
}
