import {
  engineId,
  failureDomainId,
  type Instant,
  instant,
  modelId,
  nodeId,
  regionId,
} from "@foxtailwind/core";
import {
  createDispatcher,
  HttpLogClient,
  HttpVmListClient,
} from "@foxtailwind/edges";
import { FakeLogService, FakeVmList } from "@foxtailwind/standins";
import type { ExecutionContext } from "ava";
import {
  ClusterNode,
  ClusterTransport,
  createClusterService,
  LoggerFactory,
  PeerChannels,
  PeerServer,
  SteadyClock,
  VmDirectory,
} from "@foxtailwind/node";
import { buildVm } from "./deployment.ts";

const LOG_LEVEL_SILENT = -999;

/** The engine shared by the nodes of a test. */
export const ENGINE = engineId("engine-1");

/** A clock that a test can advance, to simulate a pause of the process. */
export class AdvanceableClock extends SteadyClock {
  #skipped = 0;

  /** @param milliseconds How far to advance the clock. */
  advance(milliseconds: number): void {
    this.#skipped += milliseconds;
  }

  override now(): Instant {
    return instant(performance.now() + this.#skipped);
  }
}

/** A cluster node under test. */
export interface TestNode {
  readonly id: string;
  readonly cluster: ClusterNode;
  readonly clock: AdvanceableClock;
  /** Stops the node without notifying the others. */
  readonly kill: () => Promise<void>;
}

/** The nodes of a test and the log stand-in that they share. */
export interface TestCluster {
  readonly log: FakeLogService;
  readonly nodes: readonly TestNode[];
}

/**
 * Starts nodes that share one engine; they stop at the end of the test.
 * @param t The test.
 * @param count The number of nodes.
 * @returns The nodes.
 */
export async function startCluster(
  t: ExecutionContext,
  count: number,
): Promise<TestCluster> {
  const log = new FakeLogService();
  const vmList = new FakeVmList();
  await Promise.all([log.listen(), vmList.listen()]);
  t.teardown(() => Promise.all([log.close(), vmList.close()]));
  const model = modelId("base");
  const role = { kind: "engine", model, checksFencing: true } as const;
  vmList.setVm(buildVm(ENGINE, "127.0.0.1:1", role));
  const nodes = await Promise.all(
    Array.from(
      { length: count },
      (_, index) => startNode(t, { id: `node-${index + 1}`, log, vmList }),
    ),
  );
  return { log, nodes };
}

/**
 * Finds the node that currently may send orders to the engine.
 * @param nodes The nodes.
 * @returns The node, or undefined if there is none.
 */
export function findOrderingNode(
  nodes: readonly TestNode[],
): TestNode | undefined {
  return nodes.find(({ cluster, clock }) =>
    cluster.authorizeOrder(ENGINE, clock.now()).isOk()
  );
}

async function startNode(
  t: ExecutionContext,
  { id, log, vmList }: {
    readonly id: string;
    readonly log: FakeLogService;
    readonly vmList: FakeVmList;
  },
): Promise<TestNode> {
  const dispatcher = createDispatcher();
  const logger = new LoggerFactory("human", LOG_LEVEL_SILENT).forComponent(
    "membership",
  );
  const clock = new AdvanceableClock();
  const channels = new PeerChannels();
  const directory = new VmDirectory(
    new HttpVmListClient({
      baseAddress: vmList.address,
      dispatcher,
      peer: "vm_list",
    }),
    logger,
  );
  const cluster = new ClusterNode({
    node: {
      id: nodeId(id),
      region: regionId("region-1"),
      failure_domain: failureDomainId("domain-1"),
    },
    clock,
    log: new HttpLogClient({
      baseAddress: log.address,
      dispatcher,
      peer: "log",
      timeoutMilliseconds: 1_000,
    }),
    transport: new ClusterTransport(channels),
    directory,
    logger,
  });
  const server = new PeerServer([
    createClusterService((message) => {
      cluster.receive(message);
    }),
  ]);
  const port = await server.listen({ host: "127.0.0.1", port: 0 });
  const address = `127.0.0.1:${port}`;
  vmList.setVm({
    ...buildVm(id, address, { kind: "entry" }),
    peerAddress: address,
  });
  await directory.start();
  cluster.start(address);
  let isKilled = false;
  async function kill(): Promise<void> {
    if (isKilled) return;
    isKilled = true;
    cluster.stop();
    directory.stop();
    channels.close();
    await dispatcher.destroy();
    await server.close();
  }
  t.teardown(kill);
  return { id, cluster, clock, kill };
}
