import { CallerTimeouts, instant, milliseconds } from "@foxtailwind/core";
import test from "ava";

test("a caller with a shorter timeout than others on its route has waited before", (t) => {
  const timeouts = new CallerTimeouts();
  const waited = (now: number, route: string, stated: number): number =>
    timeouts.estimateEarlierWait(instant(now), route, milliseconds(stated));
  t.is(waited(0, "drafts", 6_000), 0);
  t.is(waited(10, "drafts", 4_000), 2_000);
  t.is(waited(20, "summaries", 4_000), 0, "Another route's callers.");
  t.is(waited(9_000, "drafts", 6_000), 0);
  t.is(waited(12_000, "drafts", 4_000), 2_000);
});

test("the longest timeout is forgotten once no caller states it", (t) => {
  const timeouts = new CallerTimeouts();
  const waited = (now: number, stated: number): number =>
    timeouts.estimateEarlierWait(instant(now), "drafts", milliseconds(stated));
  t.is(waited(0, 9_000), 0);
  t.is(waited(11_000, 6_000), 3_000);
  t.is(waited(22_000, 6_000), 0);
});
