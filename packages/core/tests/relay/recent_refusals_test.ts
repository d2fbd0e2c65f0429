import { backendServerId, instant, RecentRefusals } from "@foxtailwind/core";
import test from "ava";

const ENGINE = backendServerId("e1");

test("a full engine is asked once per retention time, however many requests wait", (t) => {
  const refusals = new RecentRefusals();
  let asked = 0;
  for (let now = 0; now < 1_000; now += 1) {
    if (refusals.isLikelyFull(instant(now), ENGINE)) continue;
    asked += 1;
    refusals.recordRefusal(instant(now), ENGINE);
  }
  t.is(asked, 10);
});

test("a refusal applies to its engine only, and expires", (t) => {
  const refusals = new RecentRefusals();
  refusals.recordRefusal(instant(0), ENGINE);
  t.true(refusals.isLikelyFull(instant(50), ENGINE));
  t.false(refusals.isLikelyFull(instant(50), backendServerId("e2")));
  t.false(refusals.isLikelyFull(instant(100), ENGINE));
});
