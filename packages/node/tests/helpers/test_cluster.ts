import {
  changeId,
  CONFIGURATION_STREAM,
  type ConfigurationChange,
  configurationRecordSchema,
  failureDomainId,
  formatConfigurationRecord,
  regionId,
} from "@foxtailwind/core";
import {
  Daemon,
  type DaemonAddresses,
  LoggerFactory,
  settingsSchema,
} from "@foxtailwind/node";
import {
  FakeEngine,
  FakeLogService,
  FakePlainService,
  FakeVmList,
  FakeWeightStore,
  planFromFlags,
  type StartedStandIn,
  startStandIns,
} from "@foxtailwind/standins";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@link startTestCluster}. */
export interface TestClusterOptions {
  /** The number of daemons. */
  readonly nodes: number;
  readonly engines: number;
  /** Plain services; each has one server per failure domain. */
  readonly services?: readonly string[];
  readonly domains?: number;
  /** `name=value` settings of the engine stand-ins. */
  readonly engineSettings?: readonly string[];
  /** Sections to add to or replace in the daemons' settings. */
  readonly settings?: Readonly<Record<string, Readonly<object>>>;
  /** Skips the warm-up requests to each engine. */
  readonly skipWarmUp?: boolean;
}

/** A daemon that runs in the test's process. */
export interface TestNode {
  readonly id: string;
  readonly daemon: Daemon;
  readonly addresses: DaemonAddresses;
  /** `http://` with IP literal and port. */
  readonly url: string;
}

const REGION = regionId("region-1");
const LOG_LEVEL_SILENT = -999;
const POLL_MILLISECONDS = 5;
const MAXIMUM_POLLS = 2_000;
/** A planned stop waits for this address lifetime. */
const SHORT_LIFETIME_SECONDS = 0.01;
const MAXIMUM_WARM_UPS = 60;
const WARM_UP_CLASS = "warm-up";

/** Fast engines, so that tests do not wait for simulated latencies. */
const FAST_ENGINE_SETTINGS = [
  "step_base_milliseconds=1",
  "step_milliseconds_per_sequence=0",
  "prefill_milliseconds_per_token=0",
  "load_milliseconds=1",
];

const FAST_STORE_SETTINGS = ["adapter_bytes=1000", "loads_per_second=1000"];

const WARM_UP_CHANGES: readonly ConfigurationChange[] = [
  {
    kind: "set_class",
    class: WARM_UP_CLASS,
    target: { firstTokenMilliseconds: 60_000 },
  },
  ...Array.from({ length: MAXIMUM_WARM_UPS }, (_, index) => ({
    kind: "set_adapter",
    adapter: `warm-up-${index}`,
    model: "base",
    versions: ["v1"],
    current: "v1",
  })),
] as unknown as readonly ConfigurationChange[];

/** Daemons and stand-ins in one process, on loopback. */
export class TestCluster {
  readonly nodes: readonly TestNode[];
  readonly standIns: readonly StartedStandIn[];

  constructor(
    nodes: readonly TestNode[],
    standIns: readonly StartedStandIn[],
  ) {
    this.nodes = nodes;
    this.standIns = standIns;
  }

  /** The engine stand-ins. */
  get engines(): readonly FakeEngine[] {
    return this.standIns.flatMap(({ standIn }) =>
      standIn instanceof FakeEngine ? [standIn] : []
    );
  }

  /** The servers of plain services. */
  get services(): readonly FakePlainService[] {
    return this.standIns.flatMap(({ standIn }) =>
      standIn instanceof FakePlainService ? [standIn] : []
    );
  }

  /** The log service. */
  get log(): FakeLogService {
    return findStandIn(this.standIns, FakeLogService);
  }

  /** The VM list. */
  get vmList(): FakeVmList {
    return findStandIn(this.standIns, FakeVmList);
  }

  /** The weight store. */
  get weightStore(): FakeWeightStore {
    return findStandIn(this.standIns, FakeWeightStore);
  }

  /**
   * Returns the address of a node.
   * @param index The node's index, from 0.
   * @returns `http://` with IP literal and port.
   */
  url(index = 0): string {
    const node = this.nodes[index];
    if (node === undefined) throw new Error(`node ${index} is not running`);
    return node.url;
  }

  /**
   * Appends a record of changes to the log and waits until every node has
   * applied it.
   * @param changes The changes, with plain strings for ids.
   */
  async publish(changes: readonly object[]): Promise<void> {
    const [first] = this.nodes;
    if (first === undefined) {
      throw new Error("cannot publish: no node is running");
    }
    await until(() => first.daemon.follower.caughtUp);
    const record = configurationRecordSchema.parse({
      id: changeId(randomUUID()),
      author: "test",
      base: first.daemon.follower.configuration.offset,
      changes,
    });
    const offset = await first.daemon.log.append(CONFIGURATION_STREAM, [
      formatConfigurationRecord(record),
    ]);
    const last = offset._unsafeUnwrap();
    await until(() =>
      this.nodes.every(({ daemon }) =>
        daemon.follower.configuration.offset >= last
      )
    );
  }

  /** Stops the daemons, then the stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.nodes.map(({ daemon }) => daemon.stop()));
    await Promise.all(this.standIns.map(({ standIn }) => standIn.close()));
  }
}

/**
 * Starts stand-ins and daemons. Unless skipped, warm-up requests of one token
 * wait until every node serves and every engine has answered.
 * @param size The options.
 * @returns The cluster, to be closed by the test.
 */
export async function startTestCluster(
  size: TestClusterOptions,
): Promise<TestCluster> {
  const standIns = await startStandIns(planFromFlags({
    host: "127.0.0.1",
    seed: 1,
    region: REGION,
    domains: size.domains ?? 1,
    engines: size.engines,
    services: size.services ?? [],
    logSetting: [],
    storeSetting: FAST_STORE_SETTINGS,
    vmListSetting: [],
    engineSetting: [...FAST_ENGINE_SETTINGS, ...(size.engineSettings ?? [])],
    serviceSetting: [],
  }));
  const nodes = await Promise.all(
    Array.from(
      { length: size.nodes },
      (_, index) => startNode(index, { size, standIns }),
    ),
  );
  const cluster = new TestCluster(nodes, standIns);
  await Promise.all(nodes.map(({ daemon }) => daemon.directory.refresh()));
  await cluster.publish(WARM_UP_CHANGES);
  if (size.skipWarmUp !== true && size.engines > 0) await warmUp(cluster);
  return cluster;
}

/**
 * Waits until a condition holds, by polling.
 * @param condition The condition.
 */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAXIMUM_POLLS; poll += 1) {
    if (await condition()) return;
    await sleep(POLL_MILLISECONDS);
  }
  throw new Error(`condition still false after ${MAXIMUM_POLLS} polls`);
}

async function startNode(
  index: number,
  { size, standIns }: {
    readonly size: TestClusterOptions;
    readonly standIns: readonly StartedStandIn[];
  },
): Promise<TestNode> {
  const id = `node-${index + 1}`;
  const domain = `domain-${index % (size.domains ?? 1) + 1}`;
  const settings = settingsSchema.parse({
    node: { id, region: REGION, failure_domain: domain },
    listen: { http: "127.0.0.1:0", grpc: "127.0.0.1:0" },
    platform: {
      log: findStandIn(standIns, FakeLogService).address,
      vm_list: findStandIn(standIns, FakeVmList).address,
      weight_store: findStandIn(standIns, FakeWeightStore).address,
    },
    addresses: { lifetime_seconds: SHORT_LIFETIME_SECONDS },
    ...size.settings,
  });
  const loggers = new LoggerFactory("human", LOG_LEVEL_SILENT);
  const daemon = new Daemon(settings, loggers);
  const addresses = await daemon.start();
  findStandIn(standIns, FakeVmList).setVm({
    id,
    address: addresses.http,
    peerAddress: addresses.grpc,
    region: REGION,
    failureDomain: failureDomainId(domain),
    role: { kind: "entry" },
    state: "live",
  });
  return { id, daemon, addresses, url: `http://${addresses.http}` };
}

async function warmUp(cluster: TestCluster): Promise<void> {
  for (const node of cluster.nodes) {
    await until(() => answersWarmUp(node.url, 0));
  }
  for (let index = 0; index < MAXIMUM_WARM_UPS; index += 1) {
    const cold = cluster.engines.some((engine) =>
      engine.readCounters().generationsFinished === 0
    );
    if (!cold) return;
    await until(() => answersWarmUp(cluster.url(), index));
  }
}

async function answersWarmUp(url: string, index: number): Promise<boolean> {
  const answer = await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": WARM_UP_CLASS,
    },
    body: JSON.stringify({
      model: `warm-up-${index}`,
      messages: [{ role: "user", content: "Warm up." }],
      max_tokens: 1,
    }),
  });
  await answer.text();
  return answer.ok;
}

function findStandIn<Kind>(
  standIns: readonly StartedStandIn[],
  kind: new (...parameters: never[]) => Kind,
): Kind {
  for (const { standIn } of standIns) {
    if (standIn instanceof kind) return standIn;
  }
  throw new Error(`no ${kind.name} was started`);
}
