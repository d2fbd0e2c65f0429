import { EngineStart, type ServerStart, serverStart } from "@foxtailwind/core";
import test from "ava";

const [FIRST, SECOND, THIRD] = [10, 20, 30].map(serverStart) as [
  ServerStart,
  ServerStart,
  ServerStart,
];

test("a report of an earlier start is late, one of a later start is a restart", (t) => {
  const start = new EngineStart(SECOND);
  t.is(start.applyReported(SECOND), "current");
  t.is(start.applyReported(FIRST), "late");
  t.is(start.current, SECOND);
  t.is(start.applyReported(THIRD), "restarted");
  t.is(start.current, THIRD);
});

test("an earlier start time in two consecutive reports is a restart after a clock step", (t) => {
  const start = new EngineStart(SECOND);
  t.is(start.applyReported(FIRST), "late");
  t.is(start.applyReported(SECOND), "current");
  t.is(start.applyReported(FIRST), "late", "Not consecutive.");
  t.is(start.applyReported(FIRST), "restarted");
  t.is(start.current, FIRST);
  t.false(start.applyRegistered(SECOND), "The registry has not changed.");
  t.false(start.applyRegistered(FIRST));
  t.is(start.current, FIRST);
});

test("the registry's order decides if the registry named the current start", (t) => {
  const start = new EngineStart(SECOND);
  t.false(start.applyRegistered(SECOND));
  t.true(start.applyRegistered(FIRST));
  t.is(start.current, FIRST);
});

test("a late read of the registry does not override a report", (t) => {
  const start = new EngineStart(FIRST);
  t.is(start.applyReported(THIRD), "restarted");
  t.false(start.applyRegistered(FIRST));
  t.false(start.applyRegistered(SECOND), "A restart in between.");
  t.is(start.current, THIRD);
  t.false(start.applyRegistered(THIRD));
  t.true(start.applyRegistered(SECOND), "By now the registry's order decides.");
});

test("the first known start is not a restart", (t) => {
  const start = new EngineStart(undefined);
  t.false(start.applyRegistered(undefined));
  t.is(start.applyReported(SECOND), "current");
  t.false(start.applyRegistered(SECOND));
  t.is(start.applyReported(undefined), "current");
  t.is(start.current, SECOND);
  t.true(start.applyRegistered(THIRD));
});
