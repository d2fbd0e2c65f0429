import { runAdapterSoak } from "@foxtailwind/bench";
import test from "ava";

// A real fault, listed in KNOWN-RED.txt with its cause.
test.failing("a waiting request outlives no idle adapter's remembered demand", (t) => {
  runAdapterSoak({ seed: 70_025, steps: 600 });
  t.pass();
});
