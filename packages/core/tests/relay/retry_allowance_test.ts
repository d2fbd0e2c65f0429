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
