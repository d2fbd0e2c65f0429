import {
  DEFAULT_OWNERSHIP_TIMING,
  engineId,
  type Member,
  milliseconds,
  type OutgoingMessage,
  type OwnershipRules,
  type OwnershipTiming,
  seconds,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import type { Fault } from "./fault.ts";
import { FAULTS_END, type Scenario } from "./scenario.ts";
import { domain, membersOf } from "./members.ts";
import {
  checkHolders,
  checkSettled,
  type OwnershipState,
} from "./ownership_checks.ts";
import { Timeline } from "./timeline.ts";
import { VirtualEngine } from "./virtual_engine.ts";
import { VirtualLog } from "./virtual_log.ts";
import { VirtualNode, type VirtualSurroundings } from "./virtual_node.ts";

/** How long the nodes have to settle once all faults have ended. */
const SETTLE_MILLISECONDS = 14_000;
const CHECK_MILLISECONDS = 5;
const CLOCK_RATE_SPREAD = 0.009;
const LATE_ORDER_MILLISECONDS = 3_000;
const RETAINED_RECORDS = 400;
const LEAVE_MILLISECONDS = 2_000;

const QUIET = { loseMessages: 0, repeatMessages: 0, longestDelay: 5 } as const;

const BASE_TIMING: OwnershipTiming = {
  ...DEFAULT_OWNERSHIP_TIMING,
  rebalanceAfter: seconds(3),
};

interface Link {
  readonly from: string;
  readonly to: string;
}

/** One run of a scenario. */
export class OwnershipRun {
  readonly #scenario: Scenario;
  readonly #timeline = new Timeline();
  readonly #random: SeededRandom;
  readonly #log: VirtualLog;
  readonly #engines: readonly VirtualEngine[];
  readonly #nodes: VirtualNode[] = [];
  readonly #logCuts: ReadonlySet<string>[] = [];
  readonly #appendDelays = new Map<string, number>();
  readonly #lostLinks: Link[] = [];
  readonly #partitions: ReadonlySet<string>[] = [];
  #orders = 0;

  constructor(scenario: Scenario, rules: OwnershipRules) {
    this.#scenario = scenario;
    this.#random = new SeededRandom(scenario.seed);
    this.#log = new VirtualLog(this.#timeline, {
      random: this.#random,
      faults: {
        loseAnswers: scenario.loseLogAnswers,
        lateAppends: scenario.lateAppends,
      },
      retained: RETAINED_RECORDS,
    });
    this.#engines = scenario.engines.map((checksFencing, index) =>
      new VirtualEngine({
        engine: engineId(`engine-${String(index)}`),
        failureDomain: domain(index % scenario.domains),
        checksFencing,
      })
    );
    this.#startNodes(rules);
    for (const fault of scenario.faults) this.#plan(fault);
  }

  /** How many orders were given. */
  get orders(): number {
    return this.#orders;
  }

  /** Runs the scenario to its end; throws where an invariant breaks. */
  run(): void {
    this.#timeline.after(FAULTS_END, () => {
      this.#log.calm();
    });
    this.#timeline.runUntil(FAULTS_END + SETTLE_MILLISECONDS, (now) => {
      if (now % CHECK_MILLISECONDS === 0) checkHolders(this.#state);
    });
    checkSettled(this.#state);
  }

  get #state(): OwnershipState {
    return {
      engines: this.#engines,
      nodes: this.#nodes,
      now: this.#timeline.now,
    };
  }

  /** Chance faults end with the planned ones. */
  get #rates(): Pick<
    Scenario,
    "loseMessages" | "repeatMessages" | "longestDelay"
  > {
    return this.#timeline.now < FAULTS_END ? this.#scenario : QUIET;
  }

  #startNodes(rules: OwnershipRules): void {
    const members = membersOf(this.#scenario);
    const surroundings: VirtualSurroundings = {
      timeline: this.#timeline,
      log: this.#log,
      engines: this.#engines.map((one) => one.description),
      rules,
      timing: this.#timing(),
      contacts: members,
      send: (from, outgoing) => {
        this.#send(from, outgoing);
      },
      reachesLog: (node) => !this.#logCuts.some((cut) => cut.has(node.node)),
      appendDelay: (node) => this.#appendDelays.get(node.node) ?? 0,
      repeatsPages: () => this.#random.happens(this.#rates.repeatMessages),
      order: (node, right) => {
        this.#order(node, right);
      },
    };
    for (const member of members) {
      const offset = this.#random.next() * 1_000_000;
      const spread = this.#random.next() * 2 - 1;
      const rate = 1 + CLOCK_RATE_SPREAD * spread;
      const clock = { offset, rate };
      this.#nodes.push(new VirtualNode(member, { surroundings, clock }));
    }
  }

  #timing(): OwnershipTiming {
    const { promiseMilliseconds, horizonMilliseconds } = this.#scenario;
    return {
      ...BASE_TIMING,
      promise: milliseconds(promiseMilliseconds),
      promiseHorizon: milliseconds(horizonMilliseconds),
    };
  }

  #send(from: Member, outgoing: OutgoingMessage): void {
    const target = this.#nodes.find((one) =>
      one.self.node === outgoing.to.node
    );
    if (target === undefined) return;
    const isCut = this.#isCut(from.node, target.self.node);
    const { loseMessages, repeatMessages, longestDelay } = this.#rates;
    if (isCut || this.#random.happens(loseMessages)) return;
    const copies = this.#random.happens(repeatMessages) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.#timeline.after(this.#random.next() * longestDelay, () => {
        target.receive(outgoing.message);
      });
    }
  }

  #isCut(from: string, to: string): boolean {
    if (this.#lostLinks.some((one) => one.from === from && one.to === to)) {
      return true;
    }
    return this.#partitions.some((group) => group.has(from) !== group.has(to));
  }

  #order(
    node: VirtualNode,
    right: Parameters<VirtualSurroundings["order"]>[1],
  ): void {
    const engine = this.#engines.find((one) =>
      one.description.engine === right.engine
    );
    if (engine === undefined) return;
    this.#orders += 1;
    checkHolders(this.#state);
    const longest = engine.description.checksFencing
      ? LATE_ORDER_MILLISECONDS
      : BASE_TIMING.orderFlight;
    const order = { by: node.self, fencing: right.fencing };
    this.#timeline.after(this.#random.next() * longest, () => {
      engine.receive(order);
    });
  }

  #plan(fault: Fault): void {
    const start = fault.at;
    const end = fault.at + fault.lasts;
    switch (fault.kind) {
      case "log_outage":
        this.#timeline.after(start, () => {
          this.#log.beginOutage();
        });
        this.#timeline.after(end, () => {
          this.#log.endOutage();
        });
        break;
      case "late_appends":
        this.#timeline.after(start, () => {
          this.#appendDelays.set(`node-${String(fault.node)}`, fault.delay);
        });
        this.#timeline.after(end, () => {
          this.#appendDelays.delete(`node-${String(fault.node)}`);
        });
        break;
      case "one_way":
        this.#planLink(fault);
        break;
      case "log_cut":
        this.#planGroup(fault, this.#logCuts);
        break;
      case "partition":
        this.#planGroup(fault, this.#partitions);
        break;
      case "pause":
      case "kill":
      case "leave":
        this.#planNode(fault);
        break;
    }
  }

  #planGroup(
    fault: Extract<Fault, { readonly nodes: readonly number[] }>,
    groups: ReadonlySet<string>[],
  ): void {
    const group = new Set(fault.nodes.map((index) => `node-${String(index)}`));
    this.#timeline.after(fault.at, () => {
      groups.push(group);
    });
    this.#timeline.after(fault.at + fault.lasts, () => {
      groups.splice(groups.indexOf(group), 1);
    });
  }

  #planLink(fault: Extract<Fault, { readonly kind: "one_way" }>): void {
    const link = {
      from: `node-${String(fault.from)}`,
      to: `node-${String(fault.to)}`,
    };
    this.#timeline.after(fault.at, () => {
      this.#lostLinks.push(link);
    });
    this.#timeline.after(fault.at + fault.lasts, () => {
      this.#lostLinks.splice(this.#lostLinks.indexOf(link), 1);
    });
  }

  #planNode(
    fault: Extract<Fault, { readonly kind: "pause" | "kill" | "leave" }>,
  ): void {
    const node = this.#nodes[fault.node % this.#nodes.length];
    if (node === undefined) return;
    const timeline = this.#timeline;
    timeline.after(fault.at, () => {
      switch (fault.kind) {
        case "pause":
          node.pause();
          break;
        case "kill":
          node.kill();
          break;
        case "leave":
          node.agent.leave();
          timeline.after(Math.min(LEAVE_MILLISECONDS, fault.lasts), () => {
            node.kill();
          });
          break;
      }
    });
    timeline.after(fault.at + fault.lasts + 1, () => {
      node.resume();
      node.restart();
    });
  }
}
