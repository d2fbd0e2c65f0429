import { milliseconds, requestUrgency } from "@foxtailwind/core";
import test from "ava";

function urgency(waited: number, promptTokens: number, priority = 0): number {
  return requestUrgency({
    target: milliseconds(1_000),
    remaining: milliseconds(1_000 - waited),
    prefillTime: milliseconds(promptTokens / 20),
    priority,
  });
}

test("the less slack a request has, the more urgent it is", (t) => {
  t.is(urgency(0, 0), 5);
  t.true(urgency(0, 9_000) < urgency(0, 500), "Its prompt takes longer.");
  t.true(urgency(600, 500) < urgency(100, 500), "It has waited longer.");
  t.is(urgency(940, 500), 0);
});

test("a late request ranks behind all that can be in time, by its route's priority", (t) => {
  t.true(urgency(1_200, 0) > urgency(0, 0));
  t.true(urgency(1_200, 0, 2) > urgency(1_200, 0, 0));
  t.is(urgency(1_200, 0, 7), 9);
});
