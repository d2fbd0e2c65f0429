import {
  ClusterAgent,
  type ControlledEngine,
  DEFAULT_MEMBERSHIP_TIMING,
  DEFAULT_OWNERSHIP_TIMING,
  engineId,
  failureDomainId,
  incarnationId,
  type Instant,
  instant,
  type LogOffset,
  logOffset,
  type Member,
  nodeId,
  regionId,
  StandardOwnershipRules,
} from "@foxtailwind/core";
import {
  type Measurement,
  measureProcessorMicroseconds,
} from "./measurement.ts";

const SIZES = [
  { nodes: 3, enginesPerNode: 8 },
  { nodes: 12, enginesPerNode: 8 },
  { nodes: 48, enginesPerNode: 8 },
  { nodes: 6, enginesPerNode: 1 },
  { nodes: 6, enginesPerNode: 64 },
];
const DOMAINS = 3;
const TICK_MILLISECONDS = 100;
const SETTLE_MILLISECONDS = 8_000;
const MEASURED_MILLISECONDS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Number of nodes, and of engines for each node. */
interface ClusterSize {
  readonly nodes: number;
  readonly enginesPerNode: number;
}

/**
 * Measures the membership and ownership state machines in one process, with a
 * log and a network without delay, after the view and the tenures have settled.
 * @returns For each size, the messages and processor time a node needs in a
 * second.
 */
export function measureCluster(): readonly Measurement[] {
  return SIZES.map(measureSize);
}

function measureSize(size: ClusterSize): Measurement {
  const cluster = new SimulatedCluster(size);
  cluster.run(SETTLE_MILLISECONDS);
  cluster.assertSettled();
  const { messages, bytes } = cluster;
  const time = measureProcessorMicroseconds(() => {
    cluster.run(MEASURED_MILLISECONDS);
  });
  const nodeSeconds = size.nodes * MEASURED_MILLISECONDS /
    MILLISECONDS_PER_SECOND;
  const figures = [
    { name: "messages sent", value: cluster.messages - messages, unit: "/s" },
    { name: "sent as JSON", value: cluster.bytes - bytes, unit: "B/s" },
    { name: "processor time", value: time, unit: "µs/s" },
  ];
  return {
    subject: "membership and ownership, a node",
    size: `${size.nodes} nodes, ${size.enginesPerNode} engines each`,
    figures: [
      ...figures.map((figure) => ({
        ...figure,
        value: figure.value / nodeSeconds,
      })),
      { name: "a view record", value: cluster.viewBytes, unit: "B" },
    ],
  };
}

/** Cluster agents that share a simulated log, network and clock. */
class SimulatedCluster {
  messages = 0;
  bytes = 0;
  readonly #members: readonly Member[];
  readonly #agents: ReadonlyMap<string, ClusterAgent>;
  readonly #engines: readonly ControlledEngine[];
  readonly #log: { readonly offset: LogOffset; readonly data: string }[] = [];
  #now = 0;

  constructor({ nodes, enginesPerNode }: ClusterSize) {
    this.#members = Array.from({ length: nodes }, (_, index) => member(index));
    this.#agents = new Map(
      this.#members.map((self) => [self.node, makeAgent(self)]),
    );
    this.#engines = Array.from(
      { length: nodes * enginesPerNode },
      (_, index) => ({
        engine: engineId(`engine-${index}`),
        failureDomain: failureDomainId(`domain-${index % DOMAINS}`),
        checksFencing: true,
      }),
    );
    for (const agent of this.#agents.values()) agent.setContacts(this.#members);
  }

  /** The size of a record that lists all members. */
  get viewBytes(): number {
    return Buffer.byteLength(JSON.stringify(this.#members));
  }

  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (; this.#now < end; this.#now += TICK_MILLISECONDS) {
      for (const agent of this.#agents.values()) this.#tickAgent(agent);
    }
  }

  assertSettled(): void {
    const controlled = [...this.#agents.values()]
      .reduce((sum, agent) => sum + agent.controlled.length, 0);
    if (controlled < this.#engines.length) {
      throw new Error(
        `Cannot measure: ${controlled} of ${this.#engines.length} engines are controlled`,
      );
    }
  }

  #tickAgent(agent: ClusterAgent): void {
    const now = instant(this.#now);
    agent.onLogPage(now, {
      startedAt: now,
      records: this.#log.slice(agent.nextOffset),
      tail: logOffset(this.#log.length),
      firstKept: logOffset(0),
    });
    const { messages, appends } = agent.tick(now, this.#engines);
    for (const record of appends) {
      const offset = logOffset(this.#log.length);
      this.#log.push({ offset, data: JSON.stringify(record) });
    }
    this.#send(now, messages);
  }

  #send(now: Instant, messages: ReturnType<ClusterAgent["receive"]>): void {
    for (const { to, message } of messages) {
      this.messages += 1;
      this.bytes += Buffer.byteLength(JSON.stringify(message));
      const answers = this.#agents.get(to.node)?.receive(now, message) ?? [];
      this.#send(now, answers);
    }
  }
}

function makeAgent(self: Member): ClusterAgent {
  return new ClusterAgent({
    self,
    membershipTiming: DEFAULT_MEMBERSHIP_TIMING,
    ownershipTiming: DEFAULT_OWNERSHIP_TIMING,
    rules: new StandardOwnershipRules(),
    startedAt: instant(0),
  });
}

function member(index: number): Member {
  return {
    node: nodeId(`node-${index}`),
    incarnation: incarnationId(`incarnation-${index}`),
    generation: 0,
    region: regionId("region-1"),
    failureDomain: failureDomainId(`domain-${index % DOMAINS}`),
    weight: 1,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
  };
}
