import { instant, milliseconds, seconds } from "@foxtailwind/core";
import {
  endsBeforeStop,
  isAcceptedWhileStopping,
  nextStopStep,
} from "@foxtailwind/node/relay";
import test from "ava";

function step(now: number, running: number, lastRequestAt = 0): string {
  return nextStopStep(instant(now), {
    begunAt: instant(0),
    grace: seconds(8),
    running,
    lastRequestAt: instant(lastRequestAt),
  });
}

test("a stopping node serves while callers may hold its address", (t) => {
  t.is(step(100, 0), "serve");
  t.is(step(3_900, 0), "serve");
  t.is(step(4_100, 1), "serve");
  t.is(step(4_100, 0, 3_900), "serve", "A request arrived recently.");
  t.is(step(4_600, 0, 3_900), "end");
});

test("near the forced end no new connections are accepted, and work continues", (t) => {
  t.is(step(6_100, 2, 6_000), "close_door");
  t.is(step(7_700, 1, 6_000), "close_door");
  t.is(step(7_800, 1, 6_000), "end");
});

test("work of a stopping node ends in time only before its final answers", (t) => {
  const endsInTime = (now: number, duration: number) =>
    endsBeforeStop(
      instant(now),
      { begunAt: instant(0), grace: seconds(8) },
      milliseconds(duration),
    );
  t.false(endsInTime(2_700, 30_000), "It would be cut off.");
  t.false(endsInTime(2_900, 30_000));
  t.false(endsInTime(3_270, 5_000), "The stream would be cut off.");
  t.true(endsInTime(2_700, 5_000));
  t.true(endsInTime(3_270, 4_000));
  t.true(endsInTime(6_700, 1_000));
  t.false(endsInTime(7_000, 1_000));
});

test("a late request to a stopping node is accepted only if it ends in time", (t) => {
  const isTaken = (now: number, longest: number, expected = 1_000) =>
    isAcceptedWhileStopping(
      instant(now),
      { begunAt: instant(0), grace: seconds(8) },
      { expected: milliseconds(expected), longest: milliseconds(longest) },
    );
  t.true(isTaken(2_700, 30_000), "Callers may not know of the stop yet.");
  t.false(isTaken(2_700, 30_000, 5_100), "It is expected to be cut off.");
  t.false(isTaken(2_900, 30_000));
  t.false(isTaken(3_270, 5_000), "The stream could be cut off.");
  t.true(isTaken(3_270, 4_000));
  t.true(isTaken(6_700, 1_000));
  t.false(isTaken(7_000, 1_000));
});
