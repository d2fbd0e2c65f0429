import {
  assertInvariant,
  ConfigurationRules,
  InvariantViolation,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import { ConfigurationLog } from "./configuration_log.ts";
import { ConfigurationNode } from "./configuration_node.ts";
import { ConfigurationOperator } from "./configuration_operator.ts";
import {
  ConfigurationReference,
  UPGRADED_FORMAT,
} from "./configuration_reference.ts";
import { upgradedRules } from "./upgraded_rules.ts";

/** What one randomised run is made of. */
export interface ConfigurationSoakOptions {
  readonly seed: number;
  /** How many acts are run before all faults end. */
  readonly steps: number;
  readonly rules?: ConfigurationRules;
}

/** What a run did, and the invariant that it broke, if any. */
export interface ConfigurationSoakRun {
  /** How many records were appended. */
  readonly orders: number;
  readonly finding?: {
    readonly seed: number;
    readonly invariant: string;
    readonly detail: string;
  };
}

const FEWEST_NODES = 3;
const MOST_NODES = 9;
const OPERATORS = 3;
const PAGE = 3;
const OVERLAP = 4;
const LARGE_PAGE = 1_000_000;

/** How often each act is drawn, against the sum of all. */
const ACTS = {
  operator: 30,
  readLog: 30,
  readPeer: 25,
  restart: 3,
  snapshot: 4,
  retention: 3,
  outage: 4,
  corrupt: 1,
  upgradeNode: 1,
} as const;

type Act = keyof typeof ACTS;

/**
 * Runs operators who race, nodes that restart, a log with outages, lost
 * answers and retention, snapshots, corrupt records and two releases, and
 * checks that all nodes come to the same.
 * @param options The seed, the length and the rules.
 * @returns What the run did.
 */
export function runConfigurationSoak(
  options: ConfigurationSoakOptions,
): ConfigurationSoakRun {
  const { seed, steps, rules = new ConfigurationRules() } = options;
  const world = new World(seed, rules);
  try {
    for (let step = 0; step < steps; step += 1) world.act();
    world.settle();
  } catch (error) {
    if (!(error instanceof InvariantViolation)) throw error;
    const { invariant, message } = error;
    const finding = { seed, invariant, detail: message };
    return { orders: world.records, finding };
  }
  return { orders: world.records };
}

class World {
  readonly #random: SeededRandom;
  readonly #rules: ConfigurationRules;
  readonly #log = new ConfigurationLog();
  readonly #reference = new ConfigurationReference(this.#log);
  readonly #nodes: readonly ConfigurationNode[];
  readonly #operators: readonly ConfigurationOperator[];
  #upgraded = 0;

  constructor(seed: number, rules: ConfigurationRules) {
    this.#random = new SeededRandom(seed);
    this.#rules = rules;
    const log = this.#log;
    const reference = this.#reference;
    const count = FEWEST_NODES + this.#draw(MOST_NODES - FEWEST_NODES + 1);
    this.#nodes = Array.from(
      { length: count },
      () => new ConfigurationNode({ log, reference, rules }),
    );
    this.#operators = Array.from(
      { length: OPERATORS },
      (_, index) =>
        new ConfigurationOperator(`operator-${index}`, {
          log,
          reference,
          random: this.#random,
        }),
    );
  }

  get records(): number {
    return this.#log.tail;
  }

  act(): void {
    const node = this.#pick(this.#nodes);
    switch (this.#drawAct()) {
      case "operator":
        this.#pick(this.#operators).act(node);
        break;
      case "readLog":
        node.readLog(1 + this.#draw(PAGE));
        break;
      case "readPeer":
        node.readPeer(this.#pick(this.#nodes), this.#draw(OVERLAP));
        break;
      case "restart":
        node.restart();
        break;
      case "snapshot":
        node.writeSnapshot();
        break;
      case "retention":
        this.#passRetention();
        break;
      case "outage":
        this.#log.isOut = !this.#log.isOut;
        break;
      case "corrupt":
        this.#log.append("{");
        break;
      case "upgradeNode":
        this.#upgradeNext();
        break;
    }
  }

  /** Ends all faults; then every node must have all in force. */
  settle(): void {
    this.#log.isOut = false;
    for (const node of this.#nodes) {
      this.#catchUp(node);
      if (node.reader.halt === undefined) continue;
      node.restart(upgradedRules(this.#rules, UPGRADED_FORMAT));
      this.#catchUp(node);
    }
    for (const node of this.#nodes) {
      const { digest } = node.reader.configuration;
      assertInvariant(
        digest === this.#reference.digest,
        "accepted_configuration_is_in_force",
        () => `A node stands at offset ${node.offset} of ${this.#log.tail}.`,
      );
    }
  }

  #catchUp(node: ConfigurationNode): void {
    node.readLog(LARGE_PAGE);
    node.readLog(LARGE_PAGE);
    if (node.offset + 1 === this.#log.tail) return;
    for (const peer of this.#nodes) node.readPeer(peer, 0);
    node.readLog(LARGE_PAGE);
  }

  /** Retention never passes what no snapshot in the log covers. */
  #passRetention(): void {
    const covered = Math.max(
      -1,
      ...this.#nodes.map(({ reader }) => reader.lastManifest?.covers ?? -1),
    );
    this.#log.forgetBelow(covered + 1);
  }

  #upgradeNext(): void {
    const node = this.#nodes[this.#upgraded];
    if (node === undefined) return;
    this.#upgraded += 1;
    node.restart(upgradedRules(this.#rules, UPGRADED_FORMAT));
    // The last operator does not wait for the last node, as it should.
    if (this.#upgraded === 2) this.#operators.at(-1)?.upgrade();
  }

  #drawAct(): Act {
    const acts = Object.entries(ACTS) as [Act, number][];
    const sum = acts.reduce((total, [, weight]) => total + weight, 0);
    let left = this.#random.next() * sum;
    for (const [act, weight] of acts) {
      left -= weight;
      if (left < 0) return act;
    }
    return "readLog";
  }

  #pick<Item>(items: readonly Item[]): Item {
    const item = items[this.#draw(items.length)];
    if (item === undefined) throw new Error("There is nothing to pick from");
    return item;
  }

  #draw(below: number): number {
    return Math.floor(this.#random.next() * below);
  }
}
