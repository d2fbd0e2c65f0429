import {
  measureRun,
  POLICIES,
  scheduleKnownFuture,
  stallLowerBound,
} from "@foxtailwind/bench";
import test from "ava";
import {
  DRAFTING,
  smallRequest,
  smallWorkload,
} from "../helpers/small_workload.ts";

const CLASSES = new Set([DRAFTING]);

test("adapters that fit the slots give no bound", (t) => {
  const requests = [0, 1, 2, 3].map((index) => smallRequest(index, index));
  t.is(stallLowerBound(smallWorkload(requests), CLASSES), 0);
});

test("a burst of many adapters stalls under any policy", (t) => {
  const requests = Array.from(
    { length: 60 },
    (_, index) => smallRequest(index * 50, index),
  );
  const workload = smallWorkload(requests);
  const bound = stallLowerBound(workload, CLASSES);
  t.true(bound > 0);
  for (const prefetch of [false, true]) {
    const { stallMilliseconds } = scheduleKnownFuture(workload, { prefetch });
    t.true(bound <= stallMilliseconds);
  }
  for (const { name, create } of POLICIES) {
    const result = measureRun(workload, {
      name,
      policy: create(workload.store),
    });
    t.true(bound / 1_000 <= result.stallSeconds);
  }
});

test("known arrivals let adapters be loaded ahead", (t) => {
  const requests = [0, 1, 2, 3, 4, 5].map((index) =>
    smallRequest(1_000 + index * 1_000, index)
  );
  const workload = smallWorkload(requests);
  const onDemand = scheduleKnownFuture(workload, { prefetch: false });
  const ahead = scheduleKnownFuture(workload, { prefetch: true });
  t.is(onDemand.stallMilliseconds, 6 * 400);
  t.true(ahead.stallMilliseconds <= 400);
});
