import { instant, PlannedStop, seconds } from "@foxtailwind/core";
import test from "ava";

const LIFETIME = seconds(10);

function kindsOf(orders: readonly { readonly kind: string }[]): string[] {
  return orders.map((order) => order.kind);
}

test("a stop announces, hands over, lets answers expire and ends", (t) => {
  const stop = new PlannedStop({ addressLifetime: LIFETIME });
  stop.begin(instant(0));
  t.deepEqual(kindsOf(stop.decide(instant(0), 1)), ["announce", "hand_over"]);
  stop.announced(instant(100));
  stop.handedOver();
  t.is(stop.nextWake(), instant(10_100));
  t.deepEqual(stop.decide(instant(10_099), 0), []);
  t.deepEqual(stop.decide(instant(10_100), 1), []);
  t.is(stop.phase, "finishing");
  t.deepEqual(stop.decide(instant(999_999), 1), []);
  t.deepEqual(stop.decide(instant(1_000_000), 0), [
    { kind: "stop", cutOff: 0 },
  ]);
});

test("a second signal does not shorten the stop", (t) => {
  const stop = new PlannedStop({ addressLifetime: LIFETIME });
  stop.begin(instant(0));
  stop.decide(instant(0), 1);
  stop.begin(instant(500));
  t.deepEqual(stop.decide(instant(500), 1), []);
  t.is(stop.nextWake(), instant(12_000));
});

test("a hand-over that never ends delays the stop for a bounded time", (t) => {
  const stop = new PlannedStop({ addressLifetime: seconds(1) });
  stop.begin(instant(0));
  stop.announced(instant(0));
  stop.decide(instant(0), 0);
  t.is(stop.nextWake(), instant(10_000));
  t.deepEqual(stop.decide(instant(9_999), 0), []);
  t.deepEqual(kindsOf(stop.decide(instant(10_000), 0)), ["stop"]);
});

test("only a time limit set by the operator cuts work off", (t) => {
  const stop = new PlannedStop({
    addressLifetime: LIFETIME,
    maximumWait: seconds(3),
  });
  stop.begin(instant(0));
  stop.decide(instant(0), 2);
  t.is(stop.nextWake(), instant(3_000));
  t.deepEqual(stop.decide(instant(3_000), 2), [{ kind: "stop", cutOff: 2 }]);
  t.deepEqual(stop.decide(instant(3_001), 2), []);
  t.is(stop.nextWake(), undefined);
});
