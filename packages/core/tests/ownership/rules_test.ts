import {
  CLOCK_START,
  DEFAULT_OWNERSHIP_TIMING,
  nodeId,
  StandardOwnershipRules,
} from "@foxtailwind/core";
import test from "ava";

const rules = new StandardOwnershipRules();
const [b, c, d] = [nodeId("b"), nodeId("c"), nodeId("d")];

test("promises are required from every successor that may be named", (t) => {
  t.deepEqual(rules.requiredPromisers([b, c], [[c, d]]), [b, c, d]);
});

test("no promise is required when a pending record has no successor", (t) => {
  t.deepEqual(rules.requiredPromisers([b, c], [[]]), []);
});

test("a lease ends before a successor's wait within the clock margin", (t) => {
  const timing = DEFAULT_OWNERSHIP_TIMING;
  const slowest = 1 - timing.clockRateMargin;
  const fastest = 1 + timing.clockRateMargin;
  const leaseEnd = rules.leaseEnd(CLOCK_START, timing) / slowest;
  const options = { timing, checksFencing: true };
  const wait = rules.takeoverWait("lease", options) / fastest;
  t.true(leaseEnd <= wait);
});
