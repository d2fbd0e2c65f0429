import { EventQueue, WeightStoreModel } from "@foxtailwind/bench";
import test from "ava";

test("two loads run at full speed, more share the rate", (t) => {
  t.deepEqual(endsOf(1), [400]);
  t.deepEqual(endsOf(2), [400, 400]);
  t.deepEqual(endsOf(4), [800, 800, 800, 800]);
});

test("a late load slows the one before it only while both run", (t) => {
  const queue = new EventQueue();
  const store = new WeightStoreModel(queue, {
    loadsPerSecond: 1,
    fullSpeedLoads: 1,
  });
  const ends: number[] = [];
  store.fetch(() => ends.push(queue.now));
  while (queue.runNext());
  store.fetch(() => ends.push(queue.now));
  while (queue.runNext());
  t.deepEqual(ends, [1_000, 2_000]);
});

function endsOf(loads: number): readonly number[] {
  const queue = new EventQueue();
  const store = new WeightStoreModel(queue, {
    loadsPerSecond: 5,
    fullSpeedLoads: 2,
  });
  const ends: number[] = [];
  for (let index = 0; index < loads; index += 1) {
    store.fetch(() => ends.push(Math.round(queue.now)));
  }
  while (queue.runNext());
  return ends;
}
