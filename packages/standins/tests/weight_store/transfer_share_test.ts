import { TransferShare } from "@foxtailwind/standins";
import test from "ava";

const SPEED = { bytesPerMillisecond: 100, concurrentAtFullSpeed: 2 } as const;

function finishTimes(starts: readonly number[], bytes: number): number[] {
  const share = new TransferShare(SPEED);
  const finished: number[] = [];
  const finish = (): number => finished.push(now);
  let now = 0;
  const advance = (until: number): void => {
    let next = share.nextFinish();
    while (next !== undefined && next <= until) {
      now = next;
      share.advance(now);
      next = share.nextFinish();
    }
    now = until;
  };
  for (const start of starts) {
    advance(start);
    share.start(bytes, { now, finish });
  }
  advance(Infinity);
  return finished.map((time) => Math.round(time));
}

test("as many as are allowed go at full speed", (t) => {
  t.deepEqual(finishTimes([0], 1_000), [10]);
  t.deepEqual(finishTimes([0, 0], 1_000), [10, 10]);
});

test("more than that share the speed", (t) => {
  t.deepEqual(finishTimes([0, 0, 0, 0], 1_000), [20, 20, 20, 20]);
  t.deepEqual(finishTimes([0, 0, 5, 5], 1_000), [15, 15, 20, 20]);
});

test("a transfer that stops leaves its share to the others", (t) => {
  const share = new TransferShare(SPEED);
  const finish = (): void => undefined;
  const stops = [0, 0, 0, 0].map((now) => share.start(1_000, { now, finish }));
  for (const stop of stops.slice(2)) stop(10);
  t.is(share.nextFinish(), 15);
});
