import { TransferScheduler } from "@foxtailwind/standins";
import test from "ava";

const LIMITS = { bytesPerMillisecond: 100, concurrentAtFullSpeed: 2 } as const;

function completionTimes(starts: readonly number[], bytes: number): number[] {
  const scheduler = new TransferScheduler(LIMITS);
  const completed: number[] = [];
  const onComplete = (): number => completed.push(now);
  let now = 0;
  const advance = (until: number): void => {
    let next = scheduler.nextCompletionAt();
    while (next !== undefined && next <= until) {
      now = next;
      scheduler.advance(now);
      next = scheduler.nextCompletionAt();
    }
    now = until;
  };
  for (const start of starts) {
    advance(start);
    scheduler.start(bytes, { now, onComplete });
  }
  advance(Infinity);
  return completed.map((time) => Math.round(time));
}

test("transfers up to the limit run at full speed", (t) => {
  t.deepEqual(completionTimes([0], 1_000), [10]);
  t.deepEqual(completionTimes([0, 0], 1_000), [10, 10]);
});

test("transfers beyond the limit share the speed", (t) => {
  t.deepEqual(completionTimes([0, 0, 0, 0], 1_000), [20, 20, 20, 20]);
  t.deepEqual(completionTimes([0, 0, 5, 5], 1_000), [15, 15, 20, 20]);
});

test("a stopped transfer releases its share of the speed", (t) => {
  const scheduler = new TransferScheduler(LIMITS);
  const onComplete = (): void => undefined;
  const stops = [0, 0, 0, 0].map((now) =>
    scheduler.start(1_000, { now, onComplete })
  );
  for (const stop of stops.slice(2)) stop(10);
  t.is(scheduler.nextCompletionAt(), 15);
});
