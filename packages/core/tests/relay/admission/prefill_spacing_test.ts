/**
 * The load: prompts arrive at random and fill half of an engine's time, as on
 * the users' busiest days, while streams run on it whose events are late after
 * 300 ms.
 */
import {
  drawPrompts,
  FIRST_EVENT_TARGET_MILLISECONDS,
  ImmediateGate,
  lateShare,
  MAX_PAUSE_MILLISECONDS,
  runEngine,
  SpacedGate,
} from "@foxtailwind/bench";
import {
  AdmissionQueue,
  type AdmissionTerms,
  instant,
  milliseconds,
  needsBreaks,
} from "@foxtailwind/core";
import test from "ava";

/** So many places that only prefill makes prompts wait. */
const PLACES = { total: 1_000, free: 1_000 } as const;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

test("bursts of prompts rarely delay streams, and few first events are late", (t) => {
  const [open, spaced] = [ImmediateGate, SpacedGate].map((Gate) => {
    const runs = SEEDS.map((seed) =>
      runEngine(drawPrompts(0.5, seed), new Gate())
    );
    return {
      paused: lateShare(
        runs.flatMap(({ pauses }) => pauses),
        MAX_PAUSE_MILLISECONDS,
      ),
      late: lateShare(
        runs.flatMap(({ firstTokenDelays: waits }) => waits),
        FIRST_EVENT_TARGET_MILLISECONDS,
      ),
    };
  });
  if (open === undefined || spaced === undefined) return t.fail();
  t.log({ open, spaced });
  t.true(spaced.paused < open.paused / 5);
  t.true(spaced.late < 0.01);
});

function prompt(
  reading: number,
  wantedBy: number,
  needsBreak = true,
): AdmissionTerms {
  return {
    prefillTime: milliseconds(reading),
    deadline: instant(wantedBy),
    needsBreak,
    priority: 0,
    account: undefined,
    work: reading,
  };
}

test("the prompt with the least slack goes first, and late ones last in order of arrival", (t) => {
  const queue = new AdmissionQueue<string>();
  const add = (name: string, wantedBy: number) => {
    queue.add(name, prompt(50, wantedBy));
  };
  add("late", 0);
  add("later", 20);
  add("patient", 900);
  add("urgent", 200);
  const order: (string | undefined)[] = [];
  for (let now = 0; order.length < 4; now += 100) {
    order.push(queue.next(instant(now), PLACES));
  }
  t.deepEqual(order, ["urgent", "patient", "late", "later"]);
});

test("an idle engine prefills at once, and the next prompt waits for the previous one", (t) => {
  const queue = new AdmissionQueue<string>();
  const terms = prompt(100, 2_000);
  queue.add("a", terms);
  queue.add("b", terms);
  t.is(queue.next(instant(1_000), PLACES), "a");
  t.is(queue.next(instant(1_000), PLACES), undefined);
  t.true(queue.expectedWait(instant(1_000), PLACES) >= 200);
  const at = queue.nextAt ?? instant(0);
  t.true(at > 1_100 && at < 1_150, `${at}`);
  t.is(queue.next(at, PLACES), "b");
  t.is(queue.nextAt, undefined);
});

test("a removed prompt is not prefilled", (t) => {
  const queue = new AdmissionQueue<string>();
  queue.add("a", prompt(9, 9));
  t.true(queue.delete("a"));
  t.is(queue.next(instant(0), PLACES), undefined);
  t.is(queue.expectedWait(instant(0), PLACES), milliseconds(0));
});

test("prompts that need no break are granted at once, and count towards the wait", (t) => {
  const queue = new AdmissionQueue<string>();
  const terms = prompt(100, 2_000, false);
  queue.add("a", terms);
  queue.add("b", terms);
  t.is(queue.next(instant(0), PLACES), "a");
  t.is(queue.next(instant(0), PLACES), "b");
  t.is(queue.expectedWait(instant(0), PLACES), milliseconds(200));
});

test("breaks are needed if continuous prefill takes longer than a stream may pause", (t) => {
  const fast = 1 / 38.7;
  const typical = 1 / 19.2;
  t.false(needsBreaks(fast, milliseconds(400)));
  t.false(needsBreaks(typical, milliseconds(400)));
  t.true(needsBreaks(typical, milliseconds(300)));
  t.true(needsBreaks(1.3 * typical, milliseconds(400)));
});
