import {
  instant,
  milliseconds,
  NodeRetryBudget,
  type PeerRetryUse,
  type RetryBudgetLimits,
  type RetryCharge,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";

/** The limits that all nodes of the world share. */
export const WORLD_LIMITS: RetryBudgetLimits = {
  retriesPerRequest: 0.2,
  reserve: 52,
  window: milliseconds(10_000),
};

/** What befalls the nodes of the world. */
export interface RetryWorldFaults {
  /** Some nodes are killed, several times, and often all in turn. */
  readonly kills: boolean;
  /** All nodes are killed at once. */
  readonly killsAll: boolean;
  /** Requests that some nodes send arrive seconds later. */
  readonly delaysArrivals: boolean;
  /** Half of the nodes don't hear the other half. */
  readonly separatesHalves: boolean;
}

const NODE_COUNT = 6;
const STEP_MILLISECONDS = 20;
const END_MILLISECONDS = 40_000;
const REPORT_INTERVAL_MILLISECONDS = 300;
/** A node that is silent for longer counts as gone. */
const SILENCE_MILLISECONDS = 1_500;
const LONGEST_RESTART_MILLISECONDS = 3_000;
const RETRIES_WANTED_PER_STEP = 20;

interface Report {
  readonly at: number;
  readonly use: PeerRetryUse;
}

/** One run of a node. */
class NodeRun {
  readonly index: number;
  readonly run: string;
  readonly startedAt: number;
  readonly budget: NodeRetryBudget;
  readonly reports: Report[] = [];
  endedAt = Infinity;
  delayedUntil = 0;
  hasEstablishedPeer = false;

  constructor(index: number, startedAt: number) {
    this.index = index;
    this.startedAt = startedAt;
    this.run = `${index}@${startedAt}`;
    this.budget = new NodeRetryBudget(
      startedAt === 0
        ? WORLD_LIMITS
        : { ...WORLD_LIMITS, startedAt: instant(startedAt) },
    );
  }

  isUp(now: number): boolean {
    return now >= this.startedAt && now < this.endedAt;
  }

  isEstablished(now: number): boolean {
    return this.startedAt === 0 ||
      now - this.startedAt >= WORLD_LIMITS.window;
  }
}

interface Fault {
  readonly at: number;
  readonly kind: "delay" | "kill";
  readonly lasts: number;
  readonly strikes: (node: number) => boolean;
}

interface SentRetry {
  readonly node: NodeRun;
  readonly arrivesAt: number;
  readonly charge: RetryCharge;
}

/** The nodes that share a service's retry budget, under drawn faults. */
export class RetryWorld {
  /** When callers sent requests. */
  readonly requests: number[] = [];
  /** When retries arrived at servers. */
  readonly arrivals: number[] = [];
  readonly #random: SeededRandom;
  readonly #requestsPerSecond: number;
  readonly #faults: Fault[] = [];
  readonly #separation: readonly [number, number];
  readonly #surges: readonly (readonly [number, number])[];
  readonly #ended: NodeRun[] = [];
  #nodes = Array.from(
    { length: NODE_COUNT },
    (_, index) => new NodeRun(index, 0),
  );
  #sent: SentRetry[] = [];

  constructor(
    seed: number,
    faults: RetryWorldFaults,
    requestsPerSecond: number,
  ) {
    this.#random = new SeededRandom(seed);
    this.#requestsPerSecond = requestsPerSecond;
    if (faults.kills) this.#drawKills();
    if (faults.killsAll) this.#drawFault("kill", 1);
    if (faults.delaysArrivals) {
      this.#drawFault("delay", 0.5);
      this.#drawFault("delay", 0.5);
    }
    this.#faults.sort((one, other) => one.at - other.at);
    const separatedAt = faults.separatesHalves ? this.#draw(20_000) : Infinity;
    this.#separation = [separatedAt, separatedAt + this.#draw(16_000)];
    this.#surges = [1_000, 3_000, 10_000].map((lasts) => {
      const begin = this.#draw(30_000);
      return [begin, begin + lasts];
    });
  }

  run(): void {
    for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
      this.#applyFaults(now);
      this.#deliver(now);
      if (now % REPORT_INTERVAL_MILLISECONDS === 0) this.#exchange(now);
      this.#receiveRequests(now);
      if (this.#surges.some(([begin, end]) => now >= begin && now < end)) {
        this.#sendRetries(now);
      }
    }
    this.arrivals.sort((one, other) => one - other);
  }

  /** Returns by how much any window exceeds the limits, below zero if none. */
  largestExcess(): number {
    const { retriesPerRequest, reserve, window } = WORLD_LIMITS;
    let largest = -Infinity;
    for (let begin = 0; begin + window <= END_MILLISECONDS; begin += 100) {
      const requests = [0, 0 - window, 0 - window / 2].map((shift) =>
        countBetween(this.requests, begin + shift, begin + shift + window)
      );
      const allowed = retriesPerRequest * Math.max(...requests) + reserve;
      const arrived = countBetween(this.arrivals, begin, begin + window);
      largest = Math.max(largest, arrived - allowed);
    }
    return largest;
  }

  #draw(limit: number): number {
    return this.#random.next() * limit;
  }

  #drawFault(kind: Fault["kind"], share: number): void {
    const struck = Array.from(
      { length: NODE_COUNT },
      () => this.#random.next() < share,
    );
    this.#faults.push({
      at: 3_000 + this.#draw(27_000),
      kind,
      lasts: 500 + this.#draw(6_000),
      strikes: (node) => struck[node] === true,
    });
  }

  #drawKills(): void {
    this.#drawFault("kill", 0.5);
    this.#drawFault("kill", 0.5);
    if (this.#random.next() < 0.5) return;
    const begin = 3_000 + this.#draw(20_000);
    for (let index = 0; index < NODE_COUNT; index += 1) {
      this.#faults.push({
        at: begin + index * 1_300,
        kind: "kill",
        lasts: 1_000,
        strikes: (node) => node === index,
      });
    }
  }

  #applyFaults(now: number): void {
    while (this.#faults[0] !== undefined && this.#faults[0].at <= now) {
      const fault = this.#faults.shift() as Fault;
      this.#nodes = this.#nodes.map((node) => {
        if (!fault.strikes(node.index) || !node.isUp(now)) return node;
        if (fault.kind === "delay") {
          node.delayedUntil = now + fault.lasts;
          return node;
        }
        node.endedAt = now;
        this.#ended.push(node);
        const restart = Math.min(fault.lasts, LONGEST_RESTART_MILLISECONDS);
        return new NodeRun(node.index, now + restart);
      });
    }
  }

  /** What a killed node had not sent yet is lost with it. */
  #deliver(now: number): void {
    this.#sent = this.#sent.filter(({ node, arrivesAt, charge }) => {
      if (!node.isUp(now)) return false;
      if (arrivesAt > now) return true;
      this.arrivals.push(now);
      charge.settle(instant(now));
      return false;
    });
  }

  #exchange(now: number): void {
    const up = this.#nodes.filter((node) => node.isUp(now));
    for (const node of up) {
      const use = node.budget.use(instant(now));
      node.reports.push({
        at: now,
        use: {
          requests: 0,
          retries: 0,
          unsettled: 0,
          departed: undefined,
          ...use,
          run: node.run,
        },
      });
    }
    for (const node of up) {
      const heard = [...this.#nodes, ...this.#ended].flatMap((peer) =>
        this.#hears(now, node, peer) ? this.#newestReport(now, peer) : []
      );
      node.hasEstablishedPeer = [...this.#nodes, ...this.#ended].some((peer) =>
        this.#hears(now, node, peer) && peer.isEstablished(now) &&
        this.#newestReport(now, peer).length > 0
      );
      node.budget.applyPeers(instant(now), heard);
    }
  }

  #hears(now: number, node: NodeRun, peer: NodeRun): boolean {
    if (peer.index === node.index) return false;
    const [begin, end] = this.#separation;
    const isSeparated = now >= begin && now < end;
    if (isSeparated && peer.index % 2 !== node.index % 2) return false;
    const isReplaced = this.#nodes[peer.index] !== peer &&
      this.#nodes[peer.index]?.isUp(now) === true;
    return !isReplaced && now >= peer.startedAt &&
      now - peer.endedAt < SILENCE_MILLISECONDS;
  }

  /** Reports take up to four intervals to reach a node by way of others. */
  #newestReport(now: number, peer: NodeRun): PeerRetryUse[] {
    const delay = (1 + Math.floor(this.#draw(4))) *
      REPORT_INTERVAL_MILLISECONDS;
    const report = peer.reports.findLast(({ at }) => at <= now - delay);
    return report === undefined ? [] : [report.use];
  }

  #receiveRequests(now: number): void {
    const up = this.#nodes.filter((node) => node.isUp(now));
    if (up.length === 0) return;
    const expected = this.#requestsPerSecond * STEP_MILLISECONDS / 1_000;
    const count = Math.floor(expected) +
      (this.#random.next() < expected % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) {
      this.requests.push(now);
      up[Math.floor(this.#draw(up.length))]?.budget.recordRequest(instant(now));
    }
  }

  #sendRetries(now: number): void {
    for (const node of this.#nodes.filter((one) => one.isUp(now))) {
      for (let sent = 0; sent < RETRIES_WANTED_PER_STEP; sent += 1) {
        const charge = node.budget.tryTake(instant(now), {
          nodes: NODE_COUNT,
          isComplete: true,
          hasEstablishedPeer: node.hasEstablishedPeer,
        });
        if (charge === undefined) break;
        const arrivesAt = Math.max(now, node.delayedUntil);
        this.#sent.push({ node, arrivesAt, charge });
      }
    }
    this.#deliver(now);
  }
}

/** Counts the instants of a sorted list from one time up to another. */
function countBetween(
  instants: readonly number[],
  begin: number,
  end: number,
): number {
  return countBefore(instants, end) - countBefore(instants, begin);
}

function countBefore(instants: readonly number[], end: number): number {
  let low = 0;
  let high = instants.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((instants[middle] as number) < end) low = middle + 1;
    else high = middle;
  }
  return low;
}
