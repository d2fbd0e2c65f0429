import {
  AdmissionQueue,
  type AdmissionTerms,
  backendServerId,
  chooseQueue,
  decideAdmission,
  instant,
  milliseconds,
  spreadRetry,
  waitForRoom,
} from "@foxtailwind/core";
import test from "ava";

const ONE_FREE = { total: 10, free: 1 } as const;
const FULL = { total: 10, free: 0 } as const;

function terms(some: Partial<AdmissionTerms> = {}): AdmissionTerms {
  return {
    priority: 0,
    account: undefined,
    work: 600,
    prefillTime: milliseconds(20),
    needsBreak: false,
    deadline: instant(500),
    ...some,
  };
}

/** Takes all that waits, in order. */
function drain(queue: AdmissionQueue<string>, now: number): readonly string[] {
  const order: string[] = [];
  for (;;) {
    const entry = queue.next(instant(now), ONE_FREE);
    if (entry === undefined) return order;
    order.push(entry);
  }
}

test("what can't be in time any longer goes last, whatever its class", (t) => {
  const queue = new AdmissionQueue<string>();
  queue.add("late live", terms({ deadline: instant(100) }));
  queue.add("batch", terms({ priority: 2, deadline: instant(2_000) }));
  queue.add("live", terms({ deadline: instant(400) }));
  t.deepEqual(drain(queue, 90), ["live", "batch", "late live"]);
});

test("nothing begins without a free place", (t) => {
  const queue = new AdmissionQueue<string>();
  queue.add("a", terms());
  t.is(queue.next(instant(0), FULL), undefined);
  t.is(queue.next(instant(0), ONE_FREE), "a");
});

test("a class that is displaced for long gets its least share", (t) => {
  const queue = new AdmissionQueue<string>();
  const order: string[] = [];
  let added = 0;
  for (let now = 0; now < 4_000; now += 40) {
    for (const priority of [0, 0, 2]) {
      queue.recordAsked(instant(now), priority);
      added += 1;
      queue.add(
        `${priority}-${added}`,
        terms({ priority, deadline: instant(now + 60_000) }),
      );
    }
    order.push(queue.next(instant(now), ONE_FREE) ?? "");
  }
  const batch = order.filter((one) => one.startsWith("2")).length;
  // All are served a third as often as they ask; a quarter of that is due.
  t.true(batch >= 100 / 3 / 4, `${batch}`);
  t.true(batch <= 25, `${batch}`);
});

test("the expected wait counts only what goes first", (t) => {
  const queue = new AdmissionQueue<string>();
  const wait = (one: AdmissionTerms) =>
    queue.estimateWait(instant(0), one, FULL);
  const oneTurn = wait(terms());
  t.true(oneTurn > 0);
  for (let index = 0; index < 20; index += 1) {
    queue.add(`hot-${index}`, terms({ account: "hot" }));
    queue.add(`batch-${index}`, terms({ priority: 2, account: "hot" }));
  }
  t.is(wait(terms({ account: "hot" })), milliseconds(21 * oneTurn));
  t.is(wait(terms({ account: "other" })), milliseconds(2 * oneTurn));
  t.is(
    wait(terms({ account: "other", deadline: instant(-1) })),
    milliseconds(41 * oneTurn),
  );
});

test("requests whose senders no longer wait are removed", (t) => {
  const queue = new AdmissionQueue<string>();
  queue.add("a", terms({ waitsUntil: instant(50) }));
  queue.add("b", terms({ waitsUntil: instant(90) }));
  t.is(queue.nextExpiryAt, instant(50));
  t.deepEqual(queue.takeExpired(instant(60)), ["a"]);
  t.deepEqual(queue.waiting, ["b"]);
});

test("what can't begin in time is refused, and what has no wait never", (t) => {
  const decide = (wait: number, onlyInTime: boolean, waitsUntil?: number) =>
    decideAdmission(instant(0), {
      terms: terms(
        waitsUntil === undefined ? {} : { waitsUntil: instant(waitsUntil) },
      ),
      onlyInTime,
      wait: milliseconds(wait),
    });
  t.is(decide(490, true, 900), "late");
  t.is(decide(480, true, 900), undefined);
  t.is(decide(490, false, 900), undefined);
  t.is(decide(901, false, 900), "no_place");
  t.is(decide(0, true, 0), undefined);
  t.is(decide(9_000, true), undefined, "It doesn't say how long it waits.");
});

test("a late request joins the queue that has room first, if that is soon enough", (t) => {
  const refusals = [700, 300, 900].map((retryAfter, index) => ({
    engine: backendServerId(`engine-${index}`),
    retryAfter: milliseconds(retryAfter),
  }));
  t.is(chooseQueue(refusals, milliseconds(400)), "engine-1" as never);
  t.is(chooseQueue(refusals, milliseconds(300)), undefined);
  t.is(waitForRoom(refusals), milliseconds(300));
  t.is(waitForRoom([]), undefined);
});

test("callers never come back before there is room", (t) => {
  t.is(spreadRetry(milliseconds(400), 0), milliseconds(400));
  t.is(spreadRetry(milliseconds(400), 1), milliseconds(600));
});
