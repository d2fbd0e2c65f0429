import {
  OWNERSHIP_MUTANTS,
  runOwnershipSoak,
  runScenario,
  type Scenario,
} from "@foxtailwind/bench";
import { type OwnershipRules, StandardOwnershipRules } from "@foxtailwind/core";
import test from "ava";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

function rulesOf(mutant: string): OwnershipRules {
  const found = OWNERSHIP_MUTANTS.find(({ name }) => name === mutant);
  if (found === undefined) throw new Error(`No mutant is called ${mutant}`);
  return found.rules;
}

for (const seed of SEEDS) {
  test(`seed ${seed} breaks no invariant`, (t) => {
    const { orders, finding } = runOwnershipSoak(seed);
    t.is(finding, undefined);
    t.true(orders > 0);
  });
}

/**
 * A controller's record without successors lands while the controller cannot
 * read the log, and another node repairs the engine after the lease.
 */
const UNSEEN_KEEP: Scenario = {
  seed: 24,
  nodes: 5,
  domains: 1,
  engines: [true, false, true, true],
  loseMessages: 0,
  repeatMessages: 0,
  longestDelay: 5,
  loseLogAnswers: 0,
  lateAppends: 0.5,
  promiseMilliseconds: 1_000,
  horizonMilliseconds: 5_000,
  faults: [
    { kind: "partition", nodes: [2], at: 4_003, lasts: 1_778 },
    { kind: "kill", node: 2, at: 5_776, lasts: 20 },
    { kind: "log_cut", nodes: [0, 1, 3, 4], at: 5_807, lasts: 7_000 },
  ],
};

test("promises do not protect where a record under way names nobody", (t) => {
  const rules = new StandardOwnershipRules();
  t.is(runScenario(UNSEEN_KEEP, { seed: 0, rules }).finding, undefined);
});

test("a dropped lease check is noticed", (t) => {
  const rules = rulesOf("drop the lease check");
  const findings = SEEDS.map((seed) =>
    runOwnershipSoak(seed, { rules }).finding
  );
  t.true(findings.some((one) => one?.invariant === "one_holder_of_the_right"));
});
