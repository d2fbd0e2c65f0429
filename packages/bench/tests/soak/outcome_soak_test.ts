import test from "ava";
import { outcomeMutants, runOutcomeSoak } from "@foxtailwind/bench";

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const MUTANT_SEEDS = 60;
const STEPS = 1_500;

test("outcomes stay true through random faults", (t) => {
  const runs = SEEDS.map((seed) => runOutcomeSoak({ seed, steps: STEPS }));
  t.deepEqual(runs.flatMap((run) => run.finding ?? []), []);
  t.true(runs.every((run) => run.orders > 0));
});

for (const { name, invariant, rules } of outcomeMutants) {
  test(`an invariant notices the fault: ${name}`, (t) => {
    let found: string | undefined;
    for (let seed = 1; found === undefined && seed <= MUTANT_SEEDS; seed += 1) {
      found = runOutcomeSoak({ seed, steps: STEPS, rules }).finding?.invariant;
    }
    t.is(found, invariant);
  });
}
