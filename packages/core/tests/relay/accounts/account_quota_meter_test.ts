import {
  AccountQuotaMeter,
  instant,
  nodeId,
  type QuotaTerms,
} from "@foxtailwind/core";
import test from "ava";

const QUOTA = {
  unit: "tokens",
  rate: 1_000,
  burst: 1_000,
  plainTokens: 0,
} as const;
const ALONE: QuotaTerms = {
  quota: QUOTA,
  slack: 0,
  membership: { present: 1, known: 1 },
};

/** Takes as much as is admitted in steps of ten tokens. */
function takeAll(meter: AccountQuotaMeter, at: number, terms: QuotaTerms) {
  let taken = 0;
  while (
    taken < 100_000 &&
    meter.tryTake(instant(at), 10, terms).kind === "admitted"
  ) taken += 10;
  return taken;
}

test("one node alone admits a burst and then the rate", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  const burst = takeAll(meter, 60_000, ALONE);
  t.true(burst >= 500 && burst <= 1_000, `${burst}`);
  let later = 0;
  for (let second = 61; second <= 80; second += 1) {
    later += takeAll(meter, second * 1_000, ALONE);
  }
  t.true(later > 18_000 && later <= 21_000, `${later}`);
});

test("a refusal says when the request is expected to be admitted", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  takeAll(meter, 0, ALONE);
  const decision = meter.tryTake(instant(0), 500, ALONE);
  t.is(decision.kind, "refused");
  if (decision.kind !== "refused") return;
  const at = instant(decision.retryAfter + 1);
  t.true(decision.retryAfter > 0);
  t.is(meter.tryTake(at, 500, ALONE).kind, "admitted");
});

test("what a peer admits is missing from the pool, also in bits that arrive twice", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  const terms = { ...ALONE, membership: { present: 2, known: 2 } };
  const report = (admitted: number) => [{
    node: nodeId("n2"),
    incarnation: "run-1",
    admitted,
    demand: 5_000,
  }];
  const now = instant(10_000);
  meter.applyPeers(now, report(0));
  meter.applyPeers(now, report(1_400));
  meter.applyPeers(now, report(1_400));
  t.is(meter.tryTake(now, 10, terms).kind, "refused");
});

test("a request that is larger than the node's share is admitted once the share is full", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  takeAll(meter, 0, ALONE);
  let admittedAt = 0;
  for (let at = 0; at < 20_000 && admittedAt === 0; at += 100) {
    const decision = meter.tryTake(instant(at), 3_000, ALONE);
    if (decision.kind === "admitted") admittedAt = at;
  }
  t.true(admittedAt > 0);
  t.is(meter.tryTake(instant(admittedAt + 500), 10, ALONE).kind, "refused");
});

test("a node that hears none of the others spends only its own part", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  const isolated = { ...ALONE, membership: { present: 1, known: 50 } };
  let taken = 0;
  for (let second = 0; second < 100; second += 1) {
    taken += takeAll(meter, second * 1_000, isolated);
  }
  t.true(taken <= 100 * 1_000 / 50 + 100, `${taken}`);
});

test("a refund makes room again", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  takeAll(meter, 0, ALONE);
  t.is(meter.tryTake(instant(0), 400, ALONE).kind, "refused");
  meter.refund(450);
  t.is(meter.tryTake(instant(0), 400, ALONE).kind, "admitted");
});

test("a lower quota applies at once, without a debt of the earlier one", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  meter.tryTake(instant(0), 1, ALONE);
  takeAll(meter, 0, ALONE);
  const lowered = { ...ALONE, quota: { ...QUOTA, rate: 100, burst: 100 } };
  let taken = 0;
  for (let second = 1; second <= 20; second += 1) {
    taken += takeAll(meter, second * 1_000, lowered);
  }
  t.true(taken > 1_500 && taken <= 2_200, `${taken}`);
});

test("a request that costs nothing is admitted and leaves the state valid", (t) => {
  const meter = new AccountQuotaMeter(instant(0));
  t.is(meter.tryTake(instant(0), 0, ALONE).kind, "admitted");
  t.is(meter.tryTake(instant(0), 10, ALONE).kind, "admitted");
});
