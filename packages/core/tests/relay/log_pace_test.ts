import {
  gatheringPause,
  isCrowded,
  milliseconds,
  pauseAfterFailures,
  pauseOfTold,
  sharedPause,
} from "@foxtailwind/core";
import test from "ava";

test("a few readers read as each of them would alone", (t) => {
  t.is(gatheringPause(9), milliseconds(0));
  t.is(sharedPause(milliseconds(650), 9), milliseconds(650));
  t.false(isCrowded(9));
  t.is(pauseOfTold(milliseconds(1_000), 9), milliseconds(0));
});

/** Reads of all readers while each of them writes a record in this time. */
function readsOfAStart(readers: number, duration: number): number {
  const pause = gatheringPause(readers);
  const recordsApart = duration / readers;
  return readers * Math.ceil(duration / Math.max(pause, recordsApart));
}

test("61 nodes that start within a second and a half read a sixth of what they read without a pause", (t) => {
  const withoutPause = 61 * 61;
  t.true(readsOfAStart(61, 1_500) < withoutPause / 6);
});

test("many readers together read as often as twelve", (t) => {
  const readsASecond = 61 * 1_000 / sharedPause(milliseconds(650), 61);
  t.true(Math.abs(readsASecond - 12 * 1_000 / 650) < 0.1);
});

test("61 readers that are told of records read them twelve times a second, however many records come", (t) => {
  t.true(isCrowded(61));
  const pause = pauseOfTold(milliseconds(1_000), 61);
  t.true(Math.abs(61 * 1_000 / pause - 12) < 0.1);
});

test("while the log is down, many nodes together press it as much as a dozen", (t) => {
  const callsASecond = (readers: number) =>
    readers * 1_000 / pauseAfterFailures(2, readers, false);
  t.true(callsASecond(195) <= callsASecond(12));
  t.is(pauseAfterFailures(1, 195, false), milliseconds(0));
  t.is(
    pauseAfterFailures(2, 195, true),
    pauseAfterFailures(2, 6, false),
    "Those who watch for the others find it as soon as in a small system.",
  );
});
