import {
  instant,
  milliseconds,
  NodeRetryBudget,
  type RetryBudgetLimits,
  type RetryMembership,
} from "@foxtailwind/core";
import test from "ava";

const TERMS: RetryBudgetLimits = {
  retriesPerRequest: 0.2,
  reserve: 58,
  window: milliseconds(10_000),
};

const membershipOf = (nodes: number): RetryMembership => ({
  nodes,
  isComplete: true,
  hasEstablishedPeer: true,
});

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
    const charge = budget?.tryTake(instant(now), membershipOf(nodes));
    if (charge !== undefined) retries.push(now);
    charge?.settle(instant(now));
  }
  for (const start of retries) {
    const inWindow = retries.filter((at) => at >= start && at < start + 10_000);
    t.true(inWindow.length <= 0.2 * requests + 58, `${inWindow.length}`);
  }
});

test("a node without requests may use its part of the reserve", (t) => {
  const budget = new NodeRetryBudget(TERMS);
  let taken = 0;
  while (budget.tryTake(instant(0), membershipOf(9)) !== undefined) taken += 1;
  t.is(taken, 5);
});

test("nodes that are killed together and restart within a window stay within the bound", (t) => {
  const nodes = 9;
  const retries: number[] = [];
  const takeAll = (budgets: readonly NodeRetryBudget[], now: number) => {
    for (const budget of budgets) {
      for (;;) {
        const charge = budget.tryTake(instant(now), membershipOf(nodes));
        if (charge === undefined) break;
        charge.settle(instant(now));
        retries.push(now);
      }
    }
  };
  const run = (startedAt: number) =>
    Array.from({ length: nodes }, () =>
      new NodeRetryBudget({
        ...TERMS,
        startedAt: instant(startedAt),
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

test("a retry counts until a window after it can't arrive any more", (t) => {
  const budget = new NodeRetryBudget({ ...TERMS, reserve: 2 });
  const take = (now: number) => budget.tryTake(instant(now), membershipOf(1));
  const charge = take(0);
  t.not(charge, undefined);
  t.is(take(15_000), undefined, "It may still arrive.");
  charge?.settle(instant(20_000));
  t.is(take(29_999), undefined);
  t.not(take(30_000), undefined);
});

test("a retry that was not sent is put back", (t) => {
  const budget = new NodeRetryBudget({ ...TERMS, reserve: 2 });
  const charge = budget.tryTake(instant(0), membershipOf(1));
  t.is(budget.tryTake(instant(0), membershipOf(1)), undefined);
  charge?.refund();
  t.not(budget.tryTake(instant(0), membershipOf(1)), undefined);
});

test("a node that may not know all nodes leaves the reserve unused", (t) => {
  const budget = new NodeRetryBudget(TERMS);
  const membership = { ...membershipOf(1), isComplete: false };
  t.is(budget.tryTake(instant(0), membership), undefined);
});
