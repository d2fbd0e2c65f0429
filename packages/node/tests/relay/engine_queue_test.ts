/**
 * Requests that wait at an engine's owner for a place or an adapter, while all
 * of them are in use.
 */
import { adapterId, milliseconds } from "@foxtailwind/core";
import type {
  EngineOwner,
  QueueTerms,
  UseAnswer,
} from "@foxtailwind/node/relay";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  MODEL,
  release,
  requestUse,
  setUpOwner,
} from "./helpers/owned_engine.ts";

/** Requests a use that waits for a place. */
function waitForUse(
  owner: EngineOwner,
  adapter: string,
  terms: Partial<QueueTerms> & { signal?: AbortSignal; timeLeft?: number } = {},
): Promise<UseAnswer> {
  const { signal = AbortSignal.timeout(10_000), timeLeft = 60_000 } = terms;
  return owner.requestUse({
    model: MODEL,
    adapter: adapterId(adapter),
    minimumVersion: 0,
    prefillTime: milliseconds(5),
    timeLeft: milliseconds(timeLeft),
    needsBreak: false,
    queueing: {
      priority: 0,
      work: 100,
      longestWait: milliseconds(60_000),
      onlyInTime: false,
      ...terms,
    },
  }, signal);
}

/** Sets up an engine whose places are all in use. */
async function setUpFull() {
  const engine = setUpOwner();
  engine.claim("node-1", 4);
  const first = await waitForUse(engine.owner, "a");
  const uses = [first];
  while (!engine.owner.digest.isFull) {
    uses.push(await waitForUse(engine.owner, "a"));
  }
  return { ...engine, first, uses };
}

test("a request keeps its place in the queue of a full engine until it is granted", async (t) => {
  const { owner, first, knowledge } = await setUpFull();
  const waiting = waitForUse(owner, "a", { priority: 2 });
  await sleep(20);
  t.deepEqual([...knowledge.admissions.waiting], [[0, 0], [2, 1]]);
  release(first);
  t.is((await waiting).kind, "granted");
  t.deepEqual([...knowledge.admissions.waiting], [[0, 0], [2, 0]]);
  owner.stop();
});

test("the most urgent class gets the next place, and accounts take turns", async (t) => {
  const { owner, uses } = await setUpFull();
  const order: string[] = [];
  const add = (name: string, priority: number, account: string) => {
    const terms = { priority, account: account as never, work: 5_000 };
    void waitForUse(owner, "a", terms).then((answer) => {
      if (answer.kind === "granted") order.push(name);
    });
  };
  add("batch", 2, "x");
  add("x1", 0, "x");
  add("x2", 0, "x");
  add("x3", 0, "x");
  add("y1", 0, "y");
  await sleep(5);
  for (const use of uses.slice(0, 5)) {
    release(use);
    await sleep(5);
  }
  t.deepEqual(order, ["x1", "y1", "x2", "x3", "batch"]);
  owner.stop();
});

test("a request that can't begin in time is refused at once with the time at which it could", async (t) => {
  const { owner } = await setUpFull();
  const late = await waitForUse(owner, "a", { onlyInTime: true, timeLeft: 1 });
  const impatient = await waitForUse(owner, "a", {
    longestWait: milliseconds(1),
  });
  for (const answer of [late, impatient]) {
    if (answer.kind !== "no_room") return t.fail(answer.kind);
    t.true((answer.retryAfter ?? 0) > 1);
  }
  const patient = waitForUse(owner, "a", {
    longestWait: milliseconds(80),
  });
  const expired = await patient;
  t.true(expired.kind === "no_room" && (expired.retryAfter ?? 0) > 0);
  owner.stop();
});

test("a request without a queue's terms is refused by a full engine as before", async (t) => {
  const { owner } = await setUpFull();
  t.deepEqual(await requestUse(owner, "a"), { kind: "no_room" });
  owner.stop();
});

test("a withdrawn request gives up its place in the queue and its adapter", async (t) => {
  const { owner, uses } = await setUpFull();
  const caller = new AbortController();
  const withdrawn = waitForUse(owner, "a", { signal: caller.signal });
  const next = waitForUse(owner, "a");
  caller.abort();
  t.is((await withdrawn).kind, "no_room");
  for (const use of uses) release(use);
  t.is((await next).kind, "granted");
  release(await next);
  // The adapter can leave only if no request uses it any longer.
  const others = await Promise.all(
    ["b", "c"].map((one) => waitForUse(owner, one)),
  );
  t.deepEqual(others.map(({ kind }) => kind), ["granted", "granted"]);
  owner.stop();
});

test("the load of an adapter that nobody waits for any longer is not ordered", async (t) => {
  const { owner, control, claim } = setUpOwner(1);
  claim("node-1", 4);
  const first = await waitForUse(owner, "a");
  const callers = [new AbortController(), new AbortController()];
  const waiting = callers.map(({ signal }) =>
    waitForUse(owner, "b", { signal })
  );
  await sleep(30);
  callers[0]?.abort();
  callers[1]?.abort();
  t.deepEqual(
    (await Promise.all(waiting)).map(({ kind }) => kind),
    ["no_room", "no_room"],
  );
  const orders = control.orders.length;
  release(first);
  await sleep(60);
  t.is(control.orders.length, orders);
  t.deepEqual([...control.adapters.loadedAdapters], ["a"]);
  owner.stop();
});

test("a request waits for a slot while all adapters are in use", async (t) => {
  const { owner, claim } = setUpOwner(1);
  claim("node-1", 4);
  const first = await waitForUse(owner, "a");
  const waiting = waitForUse(owner, "b");
  await sleep(30);
  release(first);
  t.is((await waiting).kind, "granted");
  owner.stop();
});
