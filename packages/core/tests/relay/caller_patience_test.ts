import { CallerPatience, instant, milliseconds } from "@foxtailwind/core";
import test from "ava";

test("who states less than others do on the same route has waited before", (t) => {
  const patience = new CallerPatience();
  const waited = (now: number, route: string, stated: number): number =>
    patience.waitedBefore(instant(now), route, milliseconds(stated));
  t.is(waited(0, "drafts", 6_000), 0);
  t.is(waited(10, "drafts", 4_000), 2_000);
  t.is(waited(20, "summaries", 4_000), 0, "Another route's callers.");
  t.is(waited(9_000, "drafts", 6_000), 0);
  t.is(waited(12_000, "drafts", 4_000), 2_000);
});

test("the longest patience is forgotten once nobody states it any more", (t) => {
  const patience = new CallerPatience();
  const waited = (now: number, stated: number): number =>
    patience.waitedBefore(instant(now), "drafts", milliseconds(stated));
  t.is(waited(0, 9_000), 0);
  t.is(waited(11_000, 6_000), 3_000);
  t.is(waited(22_000, 6_000), 0);
});
