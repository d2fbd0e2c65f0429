import { instant, milliseconds, RetryAllowance } from "@foxtailwind/core";
import test from "ava";

const TERMS = { share: 0.2, reserve: 58, window: milliseconds(10_000) };

test("all nodes together stay within the bound in any window", (t) => {
  const nodes = 9;
  const allowances = Array.from(
    { length: nodes },
    () => new RetryAllowance(TERMS),
  );
  const retries: number[] = [];
  let requests = 0;
  for (let now = 0; now < 30_000; now += 10) {
    const allowance = allowances[(now / 10) % nodes];
    allowance?.earn(instant(now));
    if (now < 10_000) requests += 1;
    if (allowance?.take(instant(now), nodes) === true) retries.push(now);
  }
  for (const start of retries) {
    const inWindow = retries.filter((at) => at >= start && at < start + 10_000);
    t.true(inWindow.length <= 0.2 * requests + 58, `${inWindow.length}`);
  }
});

test("a node without requests has its part of the reserve", (t) => {
  const allowance = new RetryAllowance(TERMS);
  let taken = 0;
  while (allowance.take(instant(0), 9)) taken += 1;
  t.is(taken, 5);
});

test("nodes that are killed together and start again in a window stay within the bound", (t) => {
  const nodes = 9;
  const retries: number[] = [];
  const takeAll = (allowances: readonly RetryAllowance[], now: number) => {
    for (const allowance of allowances) {
      while (allowance.take(instant(now), nodes)) retries.push(now);
    }
  };
  const run = (startedAt: number) =>
    Array.from({ length: nodes }, () =>
      new RetryAllowance({
        ...TERMS,
        reserveFrom: instant(startedAt + TERMS.window),
      }));
  const before = run(0);
  takeAll(before, 15_000);
  const after = run(16_000);
  for (let now = 16_000; now < 40_000; now += 500) takeAll(after, now);
  for (const start of retries) {
    const inWindow = retries.filter((at) => at >= start && at < start + 10_000);
    t.true(inWindow.length <= TERMS.reserve, `${inWindow.length}`);
  }
  t.true(retries.some((at) => at >= 26_000), "Then they have it again.");
});
