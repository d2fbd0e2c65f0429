import { OWNERSHIP_MUTANTS, runOwnershipSoak } from "@foxtailwind/bench";
import test from "ava";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/** Faults that a soak or a mutant found, and the seed that shows each. */
const FOUND = [
  {
    fault: "use promises though no successor may be named",
    family: "unseenKeep",
    seed: 265,
  },
  { fault: "accept claims of earlier runs", family: "lateClaim", seed: 103 },
  { fault: "promise before the join is read", family: "lateClaim", seed: 78 },
  {
    fault: "forget a repair's wait at the next takeover",
    family: "isolatedGroup",
    seed: 1,
  },
  {
    fault: "forget promises on a restart",
    family: "forgottenPromise",
    seed: 2,
  },
  { fault: "drop the lease check", family: "any", seed: 3 },
] as const;

for (const seed of SEEDS) {
  test(`seed ${seed} breaks no invariant`, (t) => {
    const { orders, finding } = runOwnershipSoak(seed);
    t.is(finding, undefined);
    t.true(orders > 0);
  });
}

for (const { fault, family, seed } of FOUND) {
  test(`two nodes would hold one right: ${fault}`, (t) => {
    t.is(runOwnershipSoak(seed, { family }).finding, undefined);
    const mutant = OWNERSHIP_MUTANTS.find(({ name }) => name === fault);
    const rules = mutant?.rules;
    const { finding } = runOwnershipSoak(seed, {
      family,
      ...(rules === undefined ? {} : { rules }),
    });
    t.is(finding?.invariant, "one_holder_of_the_right");
  });
}
