import { runServiceSoak } from "@foxtailwind/bench";
import test from "ava";

const STEPS = 1_500;

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`service routing holds its invariants, seed ${seed}`, (t) => {
    const report = runServiceSoak({ seed, steps: STEPS });
    t.is(report.calls, STEPS);
    t.true(report.answered > 0);
    t.true(report.unknown > 0);
  });
}
