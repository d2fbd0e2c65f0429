import { comeBackAfter, milliseconds } from "@foxtailwind/core";
import test from "ava";

test("callers that are refused together come back around the time of a place, not together", (t) => {
  const draws = Array.from({ length: 50 }, (_, index) => index / 50);
  const times = draws.map((draw) => comeBackAfter(milliseconds(2_000), draw));
  t.true(Math.min(...times) >= 1_500);
  t.true(Math.max(...times) <= 2_500);
  t.is(new Set(times).size, 50);
});

test("nobody is asked to come back at once", (t) => {
  t.true(comeBackAfter(milliseconds(0), 0) >= 200);
});
