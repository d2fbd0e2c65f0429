import { EngineStart, type ServerStart, serverStart } from "@foxtailwind/core";
import test from "ava";

const [FIRST, SECOND, THIRD] = [10, 20, 30].map(serverStart) as [
  ServerStart,
  ServerStart,
  ServerStart,
];

test("a report of the start before is late, one of a newer start is news", (t) => {
  const start = new EngineStart(SECOND);
  t.is(start.reported(SECOND), "current");
  t.is(start.reported(FIRST), "late");
  t.is(start.current, SECOND);
  t.is(start.reported(THIRD), "restarted");
  t.is(start.current, THIRD);
});

test("a smaller time that two reports in a row name is that of a clock which stepped back", (t) => {
  const start = new EngineStart(SECOND);
  t.is(start.reported(FIRST), "late");
  t.is(start.reported(SECOND), "current");
  t.is(start.reported(FIRST), "late", "Not in a row.");
  t.is(start.reported(FIRST), "restarted");
  t.is(start.current, FIRST);
  t.false(start.registered(SECOND), "The registry says nothing new.");
  t.false(start.registered(FIRST));
  t.is(start.current, FIRST);
});

test("the registry's order decides where the registry told the current start", (t) => {
  const start = new EngineStart(SECOND);
  t.false(start.registered(SECOND));
  t.true(start.registered(FIRST));
  t.is(start.current, FIRST);
});

test("a registry that is read late does not undo what a report told", (t) => {
  const start = new EngineStart(FIRST);
  t.is(start.reported(THIRD), "restarted");
  t.false(start.registered(FIRST));
  t.false(start.registered(SECOND), "A restart in between.");
  t.is(start.current, THIRD);
  t.false(start.registered(THIRD));
  t.true(start.registered(SECOND), "By now the registry's order decides.");
});

test("a start that nobody told before is no restart", (t) => {
  const start = new EngineStart(undefined);
  t.false(start.registered(undefined));
  t.is(start.reported(SECOND), "current");
  t.false(start.registered(SECOND));
  t.is(start.reported(undefined), "current");
  t.is(start.current, SECOND);
  t.true(start.registered(THIRD));
});
