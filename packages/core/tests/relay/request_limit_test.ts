import {
  estimateQueueWait,
  instant,
  milliseconds,
  nodeId,
  RequestPacer,
  ServerRateLimits,
  shareOfLimit,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const RUN = "s1@1";

function nodesOf(count: number) {
  return Array.from({ length: count }, (_, index) => nodeId(`n${index}`));
}

/** The shares of all nodes. */
function sharesOf(count: number, limit: number): readonly number[] {
  const nodes = nodesOf(count);
  return nodes.map((self) => shareOfLimit({ run: RUN, limit, self, nodes }));
}

test("the shares of all nodes add up to nine tenths of a limit, at any cluster size", (t) => {
  for (const count of [1, 6, 9, 24, 195]) {
    for (const limit of [0.5, 3.4, 12.5, 80]) {
      const sum = sharesOf(count, limit).reduce((left, right) => left + right);
      t.true(Math.abs(sum - 0.9 * limit) < 1e-9, `${count} nodes, ${limit}`);
    }
  }
});

test("few of many nodes share a small limit, and servers have different sharers", (t) => {
  t.is(sharesOf(195, 3.4).filter((share) => share > 0).length, 8);
  t.is(sharesOf(6, 3.4).filter((share) => share > 0).length, 6);
  const nodes = nodesOf(195);
  const sharers = (run: string) =>
    nodes.filter((self) => shareOfLimit({ run, limit: 3.4, self, nodes }) > 0);
  t.notDeepEqual(sharers("s1@1"), sharers("s2@1"));
});

test("a limit of zero still allows occasional requests", (t) => {
  const sum = sharesOf(9, 0).reduce((left, right) => left + right);
  t.true(sum > 0 && sum <= 0.2);
});

test("all nodes together stay within the bound in any four seconds", (t) => {
  const window = 4_000;
  const step = 10;
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = new SeededRandom(seed);
    const count = 1 + Math.floor(random.next() * 195);
    const limit = 0.3 + random.next() * 10;
    const nodes = nodesOf(count);
    const pacers = nodes.map(() => new RequestPacer(instant(0)));
    const rates = sharesOf(count, limit);
    const arrivals: number[] = [];
    for (let now = 0; now < 20_000; now += step) {
      // Silence, in which each node gains a token, then all send at once.
      const isBusy = now % 10_000 > 5_000;
      if (!isBusy) continue;
      for (const [index, pacer] of pacers.entries()) {
        if (pacer.tryTake(instant(now), rates[index] ?? 0)) arrivals.push(now);
      }
    }
    const most = Math.max(
      ...arrivals.map((first) =>
        arrivals.filter((at) => at >= first && at < first + window).length
      ),
    );
    const bound = 1.5 * limit * 4 + 5;
    t.true(most <= bound, `seed ${seed}: ${most} of ${bound}`);
    t.true(arrivals.length > 0);
  }
});

test("a refunded token may be used by the next request", (t) => {
  const pacer = new RequestPacer(instant(0));
  t.false(pacer.tryTake(instant(0), 2));
  t.is(pacer.wait(instant(250), 2), milliseconds(250));
  t.true(pacer.tryTake(instant(500), 2));
  t.false(pacer.tryTake(instant(500), 2));
  pacer.refund();
  t.is(pacer.wait(instant(500), 2), milliseconds(0));
  t.is(pacer.wait(instant(500), 0), undefined);
});

test("the queue wait includes the requests ahead", (t) => {
  const servers = [
    { wait: milliseconds(400), rate: 1 },
    { wait: milliseconds(100), rate: 1 },
    { wait: undefined, rate: 0 },
  ];
  t.is(estimateQueueWait(servers, 0), milliseconds(100));
  t.is(estimateQueueWait(servers, 3), milliseconds(1_600));
  t.is(estimateQueueWait([{ wait: undefined, rate: 0 }], 0), undefined);
});

function answer(
  limits: ServerRateLimits,
  at: number,
  limit: number | undefined,
  sentAt = at,
): boolean {
  return limits.applyAnswer(instant(at), RUN, {
    sentAt: instant(sentAt),
    limit,
  });
}

test("a limit applies until a request sent after it is answered without one", (t) => {
  const limits = new ServerRateLimits();
  t.false(answer(limits, 0, undefined));
  t.true(answer(limits, 100, 3.4));
  t.false(answer(limits, 200, 3.5));
  t.is(limits.limitOf(RUN), 3.5);
  t.false(answer(limits, 300, undefined, 150));
  t.is(limits.limitOf(RUN), 3.5, "It was sent before.");
  t.true(answer(limits, 400, undefined, 350));
  t.is(limits.limitOf(RUN), undefined);
  t.deepEqual(limits.ownLimits, [{ run: RUN }]);
  limits.applyPeerLimits(instant(4_000), []);
  t.true(limits.isEmpty);
});

test("the lowest of the limits that several nodes report applies", (t) => {
  const limits = new ServerRateLimits();
  limits.applyPeerLimits(instant(0), [{ run: RUN, limit: 5 }, {
    run: RUN,
    limit: 4,
  }]);
  t.is(limits.limitOf(RUN), 4);
  answer(limits, 100, 6);
  t.is(limits.limitOf(RUN), 4);
  limits.applyPeerLimits(instant(200), []);
  t.is(limits.limitOf(RUN), 6);
  t.deepEqual(limits.ownLimits, [{ run: RUN, limit: 6 }]);
});

test("a limit that a peer reports as ended is kept if it was named recently", (t) => {
  const limits = new ServerRateLimits();
  answer(limits, 0, 4);
  limits.applyPeerLimits(instant(1_000), [{ run: RUN }]);
  t.is(limits.limitOf(RUN), 4);
  limits.applyPeerLimits(instant(2_500), [{ run: RUN }]);
  t.is(limits.limitOf(RUN), undefined);
});

test("a limit expires if it is not named again", (t) => {
  const limits = new ServerRateLimits();
  answer(limits, 0, 4);
  limits.applyPeerLimits(instant(29_000), []);
  t.is(limits.limitOf(RUN), 4);
  limits.applyPeerLimits(instant(30_000), []);
  t.is(limits.limitOf(RUN), undefined);
});
