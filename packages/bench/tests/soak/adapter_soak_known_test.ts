import { runAdapterSoak } from "@foxtailwind/bench";
import test from "ava";

// Remembered demand of idle adapters once kept a late request waiting.
test("a waiting request outlives no idle adapter's remembered demand", (t) => {
  runAdapterSoak({ seed: 70_025, steps: 600 });
  t.pass();
});
