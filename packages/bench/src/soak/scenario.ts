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

/** Any faults, in any order. */
const mixed: fc.Arbitrary<Scenario> = fc.record({
  seed,
  nodes: fc.integer({ min: 3, max: MOST_NODES }),
  domains: fc.integer({ min: 1, max: 3 }),
  engines,
  ...chances,
  lateAppends: fc.constantFrom(0, 0.05, 0.3),
  faults: fc.array(fault, { minLength: 1, maxLength: 10 }),
});

/**
 * A group loses the log and the other nodes for longer than promises carry
 * it, while a node outside fails.
 */
const isolatedGroup: fc.Arbitrary<Scenario> = fc.record({
  seed,
  nodes: fc.integer({ min: 5, max: 7 }),
  domains: fc.constantFrom(1, 2),
  engines,
  ...chances,
  loseMessages: fc.constant(0),
  lateAppends: fc.constant(0),
  start: fc.integer({ min: FIRST_FAULT, max: 9_000 }),
  group: fc.uniqueArray(node, { minLength: 3, maxLength: 4 }),
  victim: node,
  killAfter: fc.integer({ min: 2_000, max: 6_000 }),
}).map(({ start, group: nodes, victim, killAfter, ...rest }) => ({
  ...rest,
  faults: [
    { kind: "log_cut", nodes, at: start, lasts: 12_000 },
    { kind: "partition", nodes, at: start, lasts: 12_000 },
    { kind: "kill", node: victim, at: start + killAfter, lasts: 5_000 },
  ],
}));

/**
 * A successor that does not hear its controller for a while claims, and may restart and join
 * again, before its claim reaches the log; then all nodes but one lose the
 * log.
 */
const lateClaim: fc.Arbitrary<Scenario> = fc.record({
  seed,
  nodes: fc.constant(5),
  domains: fc.constant(1),
  engines: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
  loseMessages: fc.constant(0),
  repeatMessages: fc.constant(0),
  longestDelay: fc.constant(5),
  loseLogAnswers: fc.constant(0),
  lateAppends: fc.constant(0.7),
  start: fc.integer({ min: 6_000, max: 8_000 }),
  controller: fc.integer({ min: 0, max: 4 }),
  victim: fc.integer({ min: 0, max: 4 }),
  outside: fc.integer({ min: 0, max: 4 }),
  silence: fc.integer({ min: 1_100, max: 1_800 }),
  restarts: fc.boolean(),
  cutAfter: fc.integer({ min: 100, max: 2_000 }),
}).map((drawn) => {
  const { start, silence, restarts, cutAfter, ...others } = drawn;
  const { controller, victim, outside, ...rest } = others;
  const end = start + silence;
  const faults: Fault[] = [
    {
      kind: "one_way",
      from: controller,
      to: victim,
      at: start,
      lasts: silence + 5,
    },
    {
      kind: "log_cut",
      nodes: [0, 1, 2, 3, 4].filter((one) => one !== outside),
      at: end + cutAfter,
      lasts: 7_000,
    },
  ];
  if (restarts) faults.push({ kind: "kill", node: victim, at: end, lasts: 20 });
  return { ...rest, faults };
});

/** Draws scenarios. */
export const scenarios: fc.Arbitrary<Scenario> = fc.oneof(
  { weight: 3, arbitrary: mixed },
  { weight: 1, arbitrary: isolatedGroup },
  { weight: 2, arbitrary: lateClaim },
);

/**
 * Draws the scenario of one seed.
 * @param seed The seed.
 * @returns The scenario, always the same for a seed.
 */
export function scenarioOf(seed: number): Scenario {
  const [scenario] = fc.sample(scenarios, { seed, numRuns: 1 });
  if (scenario === undefined) throw new Error(`Seed ${seed} gives no scenario`);
  return scenario;
}
