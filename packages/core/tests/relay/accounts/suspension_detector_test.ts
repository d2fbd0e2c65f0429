import { instant, SuspensionDetector } from "@foxtailwind/core";
import test from "ava";

test("the time of a suspension counts although the monotonic clock stood still", (t) => {
  const detector = new SuspensionDetector();
  t.is(detector.read(instant(100), 1_000_100), instant(100));
  t.is(detector.read(instant(200), 1_000_200), instant(200));
  t.is(detector.read(instant(210), 1_006_210), instant(6_210));
  t.is(detector.read(instant(300), 1_006_300), instant(6_300));
});

test("the time never decreases when the time of day is set back, and a later suspension counts", (t) => {
  const detector = new SuspensionDetector();
  t.is(detector.read(instant(0), 1_000_000), instant(0));
  t.is(detector.read(instant(10), 997_010), instant(10));
  t.is(detector.read(instant(20), 999_020), instant(2_020));
});

test("small differences between the clocks don't count", (t) => {
  const detector = new SuspensionDetector();
  t.is(detector.read(instant(0), 1_000_000), instant(0));
  t.is(detector.read(instant(10), 1_000_050), instant(10));
});
