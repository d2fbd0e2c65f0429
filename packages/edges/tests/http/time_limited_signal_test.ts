import { TimeLimitedSignal } from "@foxtailwind/edges";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";

const LIMIT_MILLISECONDS = 50;

test("a time-limited signal aborts at its time limit, or with its parent", async (t) => {
  const parent = new AbortController();
  const atLimit = new TimeLimitedSignal(parent.signal, LIMIT_MILLISECONDS);
  const withParent = new TimeLimitedSignal(parent.signal, 60_000);
  await sleep(2 * LIMIT_MILLISECONDS);
  t.deepEqual([atLimit.signal.aborted, withParent.signal.aborted], [
    true,
    false,
  ]);
  parent.abort();
  t.true(withParent.signal.aborted);
  t.true(
    new TimeLimitedSignal(parent.signal, LIMIT_MILLISECONDS).signal.aborted,
  );
});

test("a time-limited signal that is released never aborts", async (t) => {
  const parent = new AbortController();
  const bounded = new TimeLimitedSignal(parent.signal, LIMIT_MILLISECONDS);
  bounded.release();
  parent.abort();
  await sleep(2 * LIMIT_MILLISECONDS);
  t.false(bounded.signal.aborted);
});
