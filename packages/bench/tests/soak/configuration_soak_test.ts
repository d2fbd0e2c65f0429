import test from "ava";
import { configurationMutants, runConfigurationSoak } from "@foxtailwind/bench";

const SEEDS = 40;
const STEPS = 400;
const MUTANT_SEEDS = 60;

test("all nodes come to the same configuration through every fault", (t) => {
  let orders = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const run = runConfigurationSoak({ seed, steps: STEPS });
    t.is(run.finding, undefined);
    orders += run.orders;
  }
  t.true(orders > SEEDS * STEPS / 20);
});

for (const { name, invariant, rules } of configurationMutants) {
  test(`the checks notice a mutant: ${name}`, (t) => {
    for (let seed = 1; seed <= MUTANT_SEEDS; seed += 1) {
      const { finding } = runConfigurationSoak({ seed, steps: STEPS, rules });
      if (finding === undefined) continue;
      t.is(finding.invariant, invariant);
      return;
    }
    t.fail("No seed noticed it");
  });
}
