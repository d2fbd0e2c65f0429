import test from "ava";
import { runAdapterSoak } from "@foxtailwind/bench";

test("drawn faults break no invariant of the adapter decisions", (t) => {
  const counts = runAdapterSoak({ seed: 1, steps: 600, runs: 30 });
  t.true(counts.answered > 0);
  t.true(counts.evictions > 0);
  t.true(counts.failedLoads > 0);
  t.true(counts.preemptions > 0);
  t.true(counts.refused > 0);
  t.true(counts.restarts > 0);
});
