import { backendServerId, instant, RefusalMemory } from "@foxtailwind/core";
import test from "ava";

const ENGINE = backendServerId("e1");

test("of hundreds of requests that wait for a full engine's slot, one asks it in a while", (t) => {
  const memory = new RefusalMemory();
  let asked = 0;
  for (let now = 0; now < 1_000; now += 1) {
    if (memory.isLikelyFull(instant(now), ENGINE)) continue;
    asked += 1;
    memory.refused(instant(now), ENGINE);
  }
  t.is(asked, 10);
});

test("an engine that was full is not forgotten for others, nor for ever", (t) => {
  const memory = new RefusalMemory();
  memory.refused(instant(0), ENGINE);
  t.true(memory.isLikelyFull(instant(50), ENGINE));
  t.false(memory.isLikelyFull(instant(50), backendServerId("e2")));
  t.false(memory.isLikelyFull(instant(100), ENGINE));
});
