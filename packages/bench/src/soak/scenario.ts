import fc from "fast-check";

/** A fault of one run, from one time of the run to another. */
export type Fault =
  | {
    readonly kind: "pause" | "kill" | "leave";
    readonly node: number;
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Messages from one node to another one are lost. */
    readonly kind: "one_way";
    readonly from: number;
    readonly to: number;
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Appends of a node reach the log so much later. */
    readonly kind: "late_appends";
    readonly node: number;
    readonly at: number;
    readonly lasts: number;
    readonly delay: number;
  }
  | { readonly kind: "log_outage"; readonly at: number; readonly lasts: number }
  | {
    /** Nodes that do not reach the log. */
    readonly kind: "log_cut";
    readonly nodes: readonly number[];
    readonly at: number;
    readonly lasts: number;
  }
  | {
    /** Nodes that do not reach the other nodes. */
    readonly kind: "partition";
    readonly nodes: readonly number[];
    readonly at: number;
    readonly lasts: number;
  };

/** One randomised run. */
export interface Scenario {
  readonly seed: number;
  readonly nodes: number;
  readonly domains: number;
  /** For each engine, whether it checks fencing numbers. */
  readonly engines: readonly boolean[];
  readonly loseMessages: number;
  readonly repeatMessages: number;
  readonly longestDelay: number;
  readonly loseLogAnswers: number;
  readonly lateAppends: number;
  /** How long promises last; the lease is 1,000 ms in all scenarios. */
  readonly promiseMilliseconds: number;
  /** How long promises carry a controller without the log. */
  readonly horizonMilliseconds: number;
  readonly faults: readonly Fault[];
}

/** When the last fault has ended, in milliseconds of a run. */
export const FAULTS_END = 22_000;
const FIRST_FAULT = 2_500;
const LONGEST_FAULT = 7_000;
const MOST_NODES = 9;

const at = fc.integer({ min: FIRST_FAULT, max: FAULTS_END - LONGEST_FAULT });
const lasts = fc.integer({ min: 100, max: LONGEST_FAULT });
const node = fc.integer({ min: 0, max: MOST_NODES - 1 });
const group = fc.uniqueArray(node, { minLength: 1, maxLength: 5 });

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom("pause" as const, "kill" as const, "leave" as const),
    node,
    at,
    lasts,
  }),
  fc.record({ kind: fc.constant("log_outage" as const), at, lasts }),
  fc.record({
    kind: fc.constant("one_way" as const),
    from: node,
    to: node,
    at,
    lasts,
  }),
  fc.record({
    kind: fc.constantFrom("log_cut" as const, "partition" as const),
    nodes: group,
    at,
    lasts,
  }),
);

const chances = {
  loseMessages: fc.constantFrom(0, 0, 0.02, 0.2),
  repeatMessages: fc.constantFrom(0, 0.05, 0.2),
  longestDelay: fc.constantFrom(5, 50, 800),
  loseLogAnswers: fc.constantFrom(0, 0.05, 0.3),
};

const seed = fc.integer({ min: 1, max: 2 ** 30 });
const engines = fc.array(fc.boolean(), { minLength: 2, maxLength: 4 });

const QUIET = {
  loseMessages: 0,
  repeatMessages: 0,
  longestDelay: 5,
  loseLogAnswers: 0,
  lateAppends: 0,
  domains: 1,
  promiseMilliseconds: 1_000,
  horizonMilliseconds: 5_000,
} as const;

/** Any faults, in any order. */
const mixed: fc.Arbitrary<Scenario> = fc.record({
  seed,
  nodes: fc.integer({ min: 3, max: MOST_NODES }),
  domains: fc.integer({ min: 1, max: 3 }),
  engines,
  ...chances,
  lateAppends: fc.constantFrom(0, 0.05, 0.3),
  promiseMilliseconds: fc.constantFrom(1_000, 2_500),
  horizonMilliseconds: fc.constant(5_000),
  faults: fc.array(fault, { minLength: 1, maxLength: 10 }),
});

/**
 * A group loses the log and the other nodes for longer than promises carry
 * it, while a node outside fails.
 */
const isolatedGroup: fc.Arbitrary<Scenario> = fc.record({
  seed,
  domains: fc.constantFrom(1, 2),
  engines: fc.array(fc.boolean(), { minLength: 4, maxLength: 6 }),
  start: fc.integer({ min: FIRST_FAULT, max: 7_000 }),
  order: fc.shuffledSubarray([0, 1, 2, 3, 4, 5, 6], { minLength: 7 }),
  killAfter: fc.integer({ min: 1_500, max: 5_000 }),
}).map(({ start, order, killAfter, ...rest }): Scenario => {
  const nodes = order.slice(0, 4);
  const victim = order[4] ?? 0;
  const at = start;
  return {
    ...QUIET,
    ...rest,
    horizonMilliseconds: 8_000,
    nodes: 7,
    faults: [
      { kind: "log_cut", nodes, at, lasts: 15_000 },
      { kind: "partition", nodes, at, lasts: 15_000 },
      { kind: "kill", node: victim, at: start + killAfter, lasts: 9_000 },
    ],
  };
});

/**
 * A successor that does not hear its controller for a while claims, and may
 * restart and join again, before its claim reaches the log; then all nodes but
 * one lose the log.
 */
const lateClaim: fc.Arbitrary<Scenario> = fc.record({
  seed,
  engines: fc.array(fc.boolean(), { minLength: 8, maxLength: 8 }),
  start: fc.integer({ min: 6_000, max: 8_000 }),
  controller: fc.integer({ min: 0, max: 4 }),
  victim: fc.integer({ min: 0, max: 4 }),
  outside: fc.integer({ min: 0, max: 4 }),
  silence: fc.integer({ min: 1_400, max: 1_800 }),
  delay: fc.integer({ min: 2_500, max: 4_000 }),
  restarts: fc.boolean(),
  isAlone: fc.boolean(),
  cutAfter: fc.integer({ min: 50, max: 2_000 }),
}).map((drawn): Scenario => {
  const { start, silence, victim, outside } = drawn;
  const end = start + silence;
  const lasts = silence;
  const faults: Fault[] = [
    { kind: "one_way", from: drawn.controller, to: victim, at: start, lasts },
    {
      kind: "late_appends",
      node: victim,
      at: start,
      lasts,
      delay: drawn.delay,
    },
    {
      kind: "log_cut",
      nodes: [0, 1, 2, 3, 4].filter((one) => one !== outside),
      at: end + drawn.cutAfter,
      lasts: LONGEST_FAULT,
    },
  ];
  if (drawn.isAlone) {
    const nodes = [outside];
    faults.push({ kind: "partition", nodes, at: end, lasts: LONGEST_FAULT });
  }
  if (drawn.restarts) {
    faults.push({ kind: "kill", node: victim, at: end, lasts: 20 });
  }
  const { seed: drawnSeed, engines: drawnEngines } = drawn;
  return {
    ...QUIET,
    seed: drawnSeed,
    nodes: 5,
    engines: drawnEngines,
    faults,
  };
});

/**
 * A node that hears nobody removes all others from the view; their records,
 * which name no successors, reach the log after they have lost it.
 */
const unseenKeep: fc.Arbitrary<Scenario> = fc.record({
  seed,
  engines,
  start: fc.integer({ min: 5_000, max: 7_000 }),
  outside: fc.integer({ min: 0, max: 3 }),
  delay: fc.integer({ min: 800, max: 2_500 }),
  cutAfter: fc.integer({ min: 4_200, max: 5_400 }),
}).map(({ start, outside, delay, cutAfter, ...rest }): Scenario => {
  const others = [0, 1, 2, 3].filter((one) => one !== outside);
  const faults: Fault[] = [
    { kind: "partition", nodes: [outside], at: start, lasts: 12_000 },
    {
      kind: "log_cut",
      nodes: others,
      at: start + cutAfter,
      lasts: LONGEST_FAULT,
    },
    ...others.map((one): Fault => ({
      kind: "late_appends",
      node: one,
      at: start + 3_000,
      lasts: 4_000,
      delay,
    })),
  ];
  return { ...QUIET, ...rest, nodes: 4, faults };
});

/** Kinds of scenarios that a run may be limited to. */
export type ScenarioFamily =
  | "any"
  | "isolatedGroup"
  | "lateClaim"
  | "unseenKeep";

/** Draws scenarios, for each family. */
const families: Readonly<Record<ScenarioFamily, fc.Arbitrary<Scenario>>> = {
  any: fc.oneof(
    { weight: 4, arbitrary: mixed },
    { weight: 1, arbitrary: isolatedGroup },
    { weight: 1, arbitrary: lateClaim },
    { weight: 1, arbitrary: unseenKeep },
  ),
  isolatedGroup,
  lateClaim,
  unseenKeep,
};

/**
 * Draws the scenario of one seed.
 * @param seed The seed.
 * @param family What to draw from.
 * @returns The scenario, always the same for a seed and family.
 */
export function scenarioOf(
  seed: number,
  family: ScenarioFamily = "any",
): Scenario {
  const [scenario] = fc.sample(families[family], { seed, numRuns: 1 });
  if (scenario === undefined) throw new Error(`Seed ${seed} gives no scenario`);
  return scenario;
}
