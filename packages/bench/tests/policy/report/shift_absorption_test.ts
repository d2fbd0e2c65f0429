import { absorptionSeconds, quantile } from "@foxtailwind/bench";
import { instant } from "@foxtailwind/core";
import test from "ava";
import { smallRequest, smallWorkload } from "../helpers/small_workload.ts";

const SHIFT = 60_000;

test("a shift is absorbed when the stall is back near what it was", (t) => {
  const workload = smallWorkload([], {
    incidents: [{ kind: "popularity_shift", at: instant(SHIFT) }],
  });
  const records = Array.from({ length: 200 }, (_, index) => {
    const arrival = index * 1_000;
    const disturbed = arrival >= SHIFT && arrival < SHIFT + 7_000;
    return {
      work: smallRequest(arrival, 1),
      waitingSince: undefined,
      engine: undefined,
      preempted: false,
      stallMilliseconds: disturbed ? 10_000 : 100,
      firstTokenAt: undefined,
      endedAt: undefined,
      end: undefined,
    };
  });
  t.is(absorptionSeconds(workload, records), 7);
});

test("quantiles follow the nearest rank", (t) => {
  t.is(quantile([3, 1, 2, 4], 0.5), 2);
  t.is(quantile([3, 1, 2, 4], 0.99), 4);
  t.is(quantile([], 0.5), 0);
});
