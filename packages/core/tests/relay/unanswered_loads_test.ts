import { instant, UnansweredLoads } from "@foxtailwind/core";
import test from "ava";

test("unanswered loads reserve a slot per expected count until the count has passed it", (t) => {
  const late = new UnansweredLoads();
  late.add(instant(0), 3);
  late.add(instant(10), 3);
  late.add(instant(20), 5);
  t.is(late.reservedSlots(instant(100), 0), 2);
  t.is(late.reservedSlots(instant(100), 3), 2);
  t.is(late.reservedSlots(instant(100), 4), 1);
  t.is(late.reservedSlots(instant(100), 6), 0);
});

test("an unanswered load reserves no slot after the maximum delay", (t) => {
  const late = new UnansweredLoads();
  late.add(instant(0), 3);
  t.is(late.reservedSlots(instant(9_999), 0), 1);
  t.is(late.reservedSlots(instant(10_000), 0), 0);
});
