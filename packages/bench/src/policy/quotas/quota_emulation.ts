import { instant, type NodeId, nodeId, TokenBucket } from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import type {
  CreateEnforcer,
  EmulatedQuota,
  QuotaEnforcer,
  QuotaReport,
} from "./quota_enforcer.ts";
import type { QuotaScenario } from "./quota_scenarios.ts";

const STEP_MILLISECONDS = 10;
const END_MILLISECONDS = 40_000;
const WINDOW_MILLISECONDS = 8_000;
const SECOND_MILLISECONDS = 1_000;
const EXCHANGE_MILLISECONDS = 300;
/** The longest time in which a report reaches another node. */
const SPREAD_MILLISECONDS = 700;
/** A node that was silent for longer is not present. */
const SILENCE_MILLISECONDS = 2_000;
/** A node that was heard within this time is known. */
const RETENTION_MILLISECONDS = 20_000;
/** Nodes have exchanged reports before callers come. */
const TRAFFIC_FROM = 2_000;
const SURGE_FROM = 10_000;
const SURGE_UNTIL = 22_000;
const COMMON_TOKENS = 714;
const LONG_TOKENS = 9_242;
/** The share of requests that are long. */
const LONG_SHARE = 0.02;
const MEAN_TOKENS = COMMON_TOKENS * (1 - LONG_SHARE) + LONG_TOKENS * LONG_SHARE;

/** The result of one emulation. */
export interface QuotaResult {
  /** What a single exact bucket admits of the same requests. */
  readonly exactTokens: number;
  readonly admittedTokens: number;
  /** The highest use in a window, as a share of what the window allows. */
  readonly highestUse: number;
  /** Calls to the account's own node, per node and second. */
  readonly callsPerNode: number;
}

interface EmulatedNode {
  readonly id: NodeId;
  readonly weight: number;
  enforcer: QuotaEnforcer;
  incarnation: number;
  /** Reports on their way to this node, by sender. */
  readonly inbox: Map<NodeId, { report: QuotaReport; at: number }[]>;
  readonly heard: Map<NodeId, { report: QuotaReport; at: number }>;
}

/**
 * Plays a scenario on emulated nodes.
 * @param scenario The scenario.
 * @param options The number of serving nodes, the seed and the way.
 * @returns The result.
 */
export function emulateQuota(
  scenario: QuotaScenario,
  options: {
    readonly nodes: number;
    readonly seed: number;
    readonly create: CreateEnforcer;
  },
): QuotaResult {
  return new QuotaEmulation(scenario, options).play();
}

class QuotaEmulation {
  readonly #scenario: QuotaScenario;
  readonly #create: CreateEnforcer;
  readonly #random: SeededRandom;
  readonly #nodes: EmulatedNode[];
  readonly #exact: TokenBucket;
  readonly #lender: TokenBucket;
  readonly #admittedPerStep: number[] = [];
  #now = 0;
  #exactTokens = 0;
  #calls = 0;

  constructor(
    scenario: QuotaScenario,
    { nodes, seed, create }: {
      readonly nodes: number;
      readonly seed: number;
      readonly create: CreateEnforcer;
    },
  ) {
    this.#scenario = scenario;
    this.#create = create;
    this.#random = new SeededRandom(seed);
    this.#exact = new TokenBucket(instant(0), scenario.quota.burst);
    this.#lender = new TokenBucket(instant(0), scenario.quota.burst);
    const weights = Array.from(
      { length: nodes },
      (_, index) => (index + 1) ** -scenario.skew,
    );
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    this.#nodes = weights.map((weight, index) => ({
      id: nodeId(`n${index}`),
      weight: weight / total,
      enforcer: this.#start(index),
      incarnation: 0,
      inbox: new Map(),
      heard: new Map(),
    }));
  }

  play(): QuotaResult {
    let admitted = 0;
    for (; this.#now < END_MILLISECONDS; this.#now += STEP_MILLISECONDS) {
      this.#restartKilled();
      if (this.#now % EXCHANGE_MILLISECONDS === 0) this.#exchange();
      let step = 0;
      if (this.#now >= TRAFFIC_FROM) {
        for (const node of this.#nodes) step += this.#serve(node);
      }
      admitted += step;
      this.#admittedPerStep.push(step);
    }
    return {
      exactTokens: this.#exactTokens,
      admittedTokens: admitted,
      highestUse: this.#highestUse(),
      callsPerNode: this.#calls * SECOND_MILLISECONDS /
        (END_MILLISECONDS * this.#nodes.length),
    };
  }

  get #quota(): EmulatedQuota {
    const { quota, loweredTo = 1 } = this.#scenario;
    if (this.#now < SURGE_FROM) return quota;
    return {
      ...quota,
      rate: quota.rate * loweredTo,
      burst: quota.burst * loweredTo,
    };
  }

  #start(index: number): QuotaEnforcer {
    return this.#create(instant(this.#now), {
      lend: (amount) => this.#lend(index, amount),
    });
  }

  /** The account's own node is the first one that is not killed. */
  #lend(index: number, amount: number): number | undefined {
    this.#calls += 1;
    const isReachable = this.#faultOf(0) === undefined &&
      this.#faultOf(index) === undefined;
    if (!isReachable) return undefined;
    const { rate, burst: capacity } = this.#quota;
    const level = this.#lender.level(instant(this.#now), { rate, capacity });
    const lent = Math.max(0, Math.min(level, amount));
    this.#lender.take(lent);
    return lent;
  }

  #faultOf(index: number): "cut" | "frozen" | "killed" | undefined {
    const { fault } = this.#scenario;
    if (fault === undefined) return undefined;
    const isAffected = index < fault.share * this.#nodes.length &&
      this.#now >= fault.fromSecond * SECOND_MILLISECONDS &&
      this.#now < fault.untilSecond * SECOND_MILLISECONDS;
    return isAffected ? fault.kind : undefined;
  }

  #restartKilled(): void {
    const { fault } = this.#scenario;
    if (fault?.kind !== "killed") return;
    if (this.#now !== fault.untilSecond * SECOND_MILLISECONDS) return;
    for (const [index, node] of this.#nodes.entries()) {
      if (index >= fault.share * this.#nodes.length) continue;
      node.enforcer = this.#start(index);
      node.incarnation += 1;
      node.inbox.clear();
      node.heard.clear();
    }
  }

  #exchange(): void {
    for (const [index, sender] of this.#nodes.entries()) {
      if (this.#faultOf(index) === "frozen") continue;
      if (this.#faultOf(index) === "killed") continue;
      const report: QuotaReport = {
        node: sender.id,
        incarnation: String(sender.incarnation),
        ...sender.enforcer.report(instant(this.#now)),
      };
      for (const [other, receiver] of this.#nodes.entries()) {
        if (receiver === sender || this.#areApart(index, other)) continue;
        const at = this.#now + this.#random.next() * SPREAD_MILLISECONDS;
        const queue = receiver.inbox.get(sender.id) ?? [];
        queue.push({ report, at });
        receiver.inbox.set(sender.id, queue);
      }
    }
    for (const [index, node] of this.#nodes.entries()) {
      if (this.#faultOf(index) !== "frozen") this.#receive(node);
    }
  }

  #areApart(index: number, other: number): boolean {
    return (this.#faultOf(index) === "cut") !==
      (this.#faultOf(other) === "cut");
  }

  #receive(node: EmulatedNode): void {
    for (const [sender, queue] of node.inbox) {
      const arrived = queue.filter(({ at }) => at <= this.#now);
      if (arrived.length === 0) continue;
      node.inbox.set(sender, queue.filter(({ at }) => at > this.#now));
      const newest = arrived.reduce((left, right) =>
        right.report.admitted >= left.report.admitted ? right : left
      );
      node.heard.set(sender, { report: newest.report, at: this.#now });
    }
    const heard = [...node.heard.values()];
    const present = heard.filter(({ at }) =>
      this.#now - at < SILENCE_MILLISECONDS
    );
    const known = heard.filter(({ at }) =>
      this.#now - at < RETENTION_MILLISECONDS
    );
    node.enforcer.apply({
      present: present.length + 1,
      // Nodes that the log names are known before they are heard.
      known: Math.max(
        known.length + 1,
        this.#now === 0 ? 1 : this.#nodes.length,
      ),
      reports: present.map(({ report }) => report),
    }, instant(this.#now));
  }

  /** Serves a node's requests of one step; returns the admitted tokens. */
  #serve(node: EmulatedNode): number {
    const index = this.#nodes.indexOf(node);
    const isDown = ["frozen", "killed"].includes(this.#faultOf(index) ?? "");
    const { demand, surge, quota } = this.#scenario;
    const isSurging = this.#now >= SURGE_FROM && this.#now < SURGE_UNTIL;
    const rate = quota.rate * demand * (isSurging ? surge : 1) * node.weight;
    const mean = rate * STEP_MILLISECONDS / SECOND_MILLISECONDS / MEAN_TOKENS;
    let admitted = 0;
    for (let left = this.#poisson(mean); left > 0; left -= 1) {
      const cost = this.#random.next() < LONG_SHARE
        ? LONG_TOKENS
        : COMMON_TOKENS;
      if (isDown) continue;
      const now = instant(this.#now);
      const { rate: exactRate, burst } = this.#quota;
      const level = this.#exact.level(now, {
        rate: exactRate,
        capacity: burst,
      });
      if (level >= cost) {
        this.#exact.take(cost);
        this.#exactTokens += cost;
      }
      if (node.enforcer.tryTake(now, cost, this.#quota)) admitted += cost;
    }
    return admitted;
  }

  #poisson(mean: number): number {
    const limit = Math.exp(-mean);
    let count = 0;
    let product = this.#random.next();
    while (product > limit) {
      count += 1;
      product *= this.#random.next();
    }
    return count;
  }

  #highestUse(): number {
    const { rate, burst, slack } = this.#scenario.quota;
    const { loweredTo = 1 } = this.#scenario;
    const steps = WINDOW_MILLISECONDS / STEP_MILLISECONDS;
    let highest = 0;
    let sum = 0;
    for (const [index, tokens] of this.#admittedPerStep.entries()) {
      sum += tokens - (this.#admittedPerStep[index - steps] ?? 0);
      const beginsAt = (index - steps) * STEP_MILLISECONDS;
      // A lower limit binds one window after it was set.
      const factor = beginsAt >= SURGE_FROM + WINDOW_MILLISECONDS
        ? loweredTo
        : 1;
      const window = WINDOW_MILLISECONDS / SECOND_MILLISECONDS;
      const allowed = (rate * window + burst) * factor * 1.1 + slack;
      highest = Math.max(highest, sum / allowed);
    }
    return highest;
  }
}
