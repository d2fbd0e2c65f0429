import {
  batchingPause,
  hasManyReaders,
  milliseconds,
  notifiedReaderPause,
  pauseAfterFailures,
  scaledPause,
} from "@foxtailwind/core";
import test from "ava";

test("few readers are not paced", (t) => {
  t.is(batchingPause(9), milliseconds(0));
  t.is(scaledPause(milliseconds(650), 9), milliseconds(650));
  t.false(hasManyReaders(9));
  t.is(notifiedReaderPause(milliseconds(1_000), 9), milliseconds(0));
});

/** Total reads while each reader writes one record within a duration. */
function totalReads(readers: number, duration: number): number {
  const pause = batchingPause(readers);
  const recordInterval = duration / readers;
  return readers * Math.ceil(duration / Math.max(pause, recordInterval));
}

test("61 nodes that start within 1.5 s make less than a sixth of the reads made without a pause", (t) => {
  const withoutPause = 61 * 61;
  t.true(totalReads(61, 1_500) < withoutPause / 6);
});

test("many readers together read as often as twelve", (t) => {
  const readsASecond = 61 * 1_000 / scaledPause(milliseconds(650), 61);
  t.true(Math.abs(readsASecond - 12 * 1_000 / 650) < 0.1);
});

test("61 notified readers together read twelve times a second, whatever the record rate", (t) => {
  t.true(hasManyReaders(61));
  const pause = notifiedReaderPause(milliseconds(1_000), 61);
  t.true(Math.abs(61 * 1_000 / pause - 12) < 0.1);
});

test("while the log is down, many nodes together call it no more often than twelve", (t) => {
  const callsASecond = (readers: number) =>
    readers * 1_000 / pauseAfterFailures(2, readers, false);
  t.true(callsASecond(195) <= callsASecond(12));
  t.is(pauseAfterFailures(1, 195, false), milliseconds(0));
  t.is(
    pauseAfterFailures(2, 195, true),
    pauseAfterFailures(2, 6, false),
    "Probing nodes retry as often as in a small cluster.",
  );
});
