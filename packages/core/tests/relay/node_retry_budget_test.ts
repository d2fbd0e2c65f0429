import {
  instant,
  milliseconds,
  NodeRetryBudget,
  type RetryBudgetLimits,
} from "@foxtailwind/core";
import test from "ava";

const TERMS: RetryBudgetLimits = {
  retriesPerRequest: 0.2,
  reserve: 58,
  window: milliseconds(10_000),
};

test("all nodes together stay within the bound in any window", (t) => {
  const nodes = 9;
  const budgets = Array.from(
    { length: nodes },
    () => new NodeRetryBudget(TERMS),
  );
  const retries: number[] = [];
  let requests = 0;
  for (let now = 0; now < 30_000; now += 10) {
    const budget = budgets[(now / 10) % nodes];
    budget?.recordRequest(instant(now));
    if (now < 10_000) requests += 1;
    if (budget?.tryTake(instant(now), nodes) === true) retries.push(now);
  }
  for (const start of retries) {
    const inWindow = retries.filter((at) => at >= start && at < start + 10_000);
    t.true(inWindow.length <= 0.2 * requests + 58, `${inWindow.length}`);
  }
});

test("a node without requests may use its part of the reserve", (t) => {
  const budget = new NodeRetryBudget(TERMS);
  let taken = 0;
  while (budget.tryTake(instant(0), 9)) taken += 1;
  t.is(taken, 5);
});

test("nodes that are killed together and restart within a window stay within the bound", (t) => {
  const nodes = 9;
  const retries: number[] = [];
  const takeAll = (budgets: readonly NodeRetryBudget[], now: number) => {
    for (const budget of budgets) {
      while (budget.tryTake(instant(now), nodes)) retries.push(now);
    }
  };
  const run = (startedAt: number) =>
    Array.from({ length: nodes }, () =>
      new NodeRetryBudget({
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
  t.true(retries.some((at) => at >= 26_000), "The reserve is available again.");
});
