import {
  instant,
  LimitMemory,
  milliseconds,
  nodeId,
  partOfLimit,
  RequestPace,
  waitBehind,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const RUN = "s1@1";

function nodesOf(count: number) {
  return Array.from({ length: count }, (_, index) => nodeId(`n${index}`));
}

/** The parts of all nodes. */
function partsOf(count: number, limit: number): readonly number[] {
  const nodes = nodesOf(count);
  return nodes.map((self) => partOfLimit({ run: RUN, limit, self, nodes }));
}

test("the parts of all nodes come to nine tenths of a limit, at any size", (t) => {
  for (const count of [1, 6, 9, 24, 195]) {
    for (const limit of [0.5, 3.4, 12.5, 80]) {
      const sum = partsOf(count, limit).reduce((left, right) => left + right);
      t.true(Math.abs(sum - 0.9 * limit) < 1e-9, `${count} nodes, ${limit}`);
    }
  }
});

test("of many nodes few share a small limit, and each server has others", (t) => {
  t.is(partsOf(195, 3.4).filter((part) => part > 0).length, 8);
  t.is(partsOf(6, 3.4).filter((part) => part > 0).length, 6);
  const nodes = nodesOf(195);
  const sharers = (run: string) =>
    nodes.filter((self) => partOfLimit({ run, limit: 3.4, self, nodes }) > 0);
  t.notDeepEqual(sharers("s1@1"), sharers("s2@1"));
});

test("a limit of zero still lets a request through now and then", (t) => {
  const sum = partsOf(9, 0).reduce((left, right) => left + right);
  t.true(sum > 0 && sum <= 0.2);
});

test("any load of all nodes together stays within the bound in any four seconds", (t) => {
  const window = 4_000;
  const step = 10;
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = new SeededRandom(seed);
    const count = 1 + Math.floor(random.next() * 195);
    const limit = 0.3 + random.next() * 10;
    const nodes = nodesOf(count);
    const paces = nodes.map(() => new RequestPace(instant(0)));
    const rates = partsOf(count, limit);
    const arrivals: number[] = [];
    for (let now = 0; now < 20_000; now += step) {
      // Silence, in which each may hold one back, then all want to send.
      const isBusy = now % 10_000 > 5_000;
      if (!isBusy) continue;
      for (const [index, pace] of paces.entries()) {
        if (pace.take(instant(now), rates[index] ?? 0)) arrivals.push(now);
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

test("a request that was taken and not sent may be sent by the next one", (t) => {
  const pace = new RequestPace(instant(0));
  t.false(pace.take(instant(0), 2));
  t.is(pace.wait(instant(250), 2), milliseconds(250));
  t.true(pace.take(instant(500), 2));
  t.false(pace.take(instant(500), 2));
  pace.giveBack();
  t.is(pace.wait(instant(500), 2), milliseconds(0));
  t.is(pace.wait(instant(500), 0), undefined);
});

test("whoever waits behind others is told of their turns too", (t) => {
  const servers = [
    { wait: milliseconds(400), rate: 1 },
    { wait: milliseconds(100), rate: 1 },
    { wait: undefined, rate: 0 },
  ];
  t.is(waitBehind(servers, 0), milliseconds(100));
  t.is(waitBehind(servers, 3), milliseconds(1_600));
  t.is(waitBehind([{ wait: undefined, rate: 0 }], 0), undefined);
});

function answer(
  memory: LimitMemory,
  at: number,
  limit: number | undefined,
  sentAt = at,
): boolean {
  return memory.answered(instant(at), RUN, { sentAt: instant(sentAt), limit });
}

test("a limit holds until a request sent after it is answered without one", (t) => {
  const memory = new LimitMemory();
  t.false(answer(memory, 0, undefined));
  t.true(answer(memory, 100, 3.4));
  t.false(answer(memory, 200, 3.5));
  t.is(memory.limitOf(RUN), 3.5);
  t.false(answer(memory, 300, undefined, 150));
  t.is(memory.limitOf(RUN), 3.5, "It was sent before.");
  t.true(answer(memory, 400, undefined, 350));
  t.is(memory.limitOf(RUN), undefined);
  t.deepEqual(memory.own, [{ run: RUN }]);
  memory.told(instant(4_000), []);
  t.true(memory.isEmpty);
});

test("of a limit that several nodes tell the lowest holds", (t) => {
  const memory = new LimitMemory();
  memory.told(instant(0), [{ run: RUN, limit: 5 }, { run: RUN, limit: 4 }]);
  t.is(memory.limitOf(RUN), 4);
  answer(memory, 100, 6);
  t.is(memory.limitOf(RUN), 4);
  memory.told(instant(200), []);
  t.is(memory.limitOf(RUN), 6);
  t.deepEqual(memory.own, [{ run: RUN, limit: 6 }]);
});

test("a limit that another node has seen end is kept where it was named since", (t) => {
  const memory = new LimitMemory();
  answer(memory, 0, 4);
  memory.told(instant(1_000), [{ run: RUN }]);
  t.is(memory.limitOf(RUN), 4);
  memory.told(instant(2_500), [{ run: RUN }]);
  t.is(memory.limitOf(RUN), undefined);
});

test("a limit is forgotten where nobody sends there any more", (t) => {
  const memory = new LimitMemory();
  answer(memory, 0, 4);
  memory.told(instant(29_000), []);
  t.is(memory.limitOf(RUN), 4);
  memory.told(instant(30_000), []);
  t.is(memory.limitOf(RUN), undefined);
});
