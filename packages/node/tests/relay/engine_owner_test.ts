import { adapterId, serverStart } from "@foxtailwind/core";
import test from "ava";
import {
  MODEL,
  release,
  requestUse,
  SERVER,
  setUpOwner,
} from "./helpers/owned_engine.ts";

test("an adapter is loaded on request, and evicted only when idle", async (t) => {
  const { owner, control, claim } = setUpOwner(1);
  claim("node-1", 4);
  const first = await requestUse(owner, "a");
  t.is(first.kind, "granted");
  t.is(
    (await requestUse(owner, "b")).kind,
    "no_room",
    "The only slot is in use.",
  );
  release(first);
  const second = await requestUse(owner, "b");
  t.is(second.kind, "granted");
  t.deepEqual([...control.adapters.loadedAdapters], ["b"]);
  t.true(control.orders.every((order) => order.fence === 5 as never));
  owner.stop();
});

// Guards against an engine that is ordered to hold more than its memory does.
test("an adapter for which memory has no room is loaded once another is unloaded", async (t) => {
  const { owner, control, claim } = setUpOwner(3, undefined, 2);
  claim("node-1", 4);
  const first = await requestUse(owner, "a");
  t.is(owner.digest.room, 0);
  t.is((await requestUse(owner, "b")).kind, "no_room", "The first is in use.");
  release(first);
  t.is((await requestUse(owner, "b")).kind, "granted");
  t.deepEqual([...control.adapters.loadedAdapters], ["b"]);
  owner.stop();
});

test("an adapter is refused at once, and logged once, if memory never has room for it", async (t) => {
  const lines: string[] = [];
  const { owner, control, claim } = setUpOwner(
    3,
    (line) => lines.push(line),
    1,
  );
  claim("node-1", 4);
  for (const adapter of ["a", "b"]) {
    t.deepEqual(await requestUse(owner, adapter), { kind: "no_room" });
  }
  t.deepEqual(control.orders, []);
  const unfit = lines.filter((line) => line.includes("doesn't fit"));
  t.is(unfit.length, 1);
  owner.stop();
});

// Guards against a check whether a load has ended, which an engine takes for the
// order to load a newer version beside the present one.
test("a load isn't checked by an order that would load a newer version than memory has room for", async (t) => {
  const { owner, control, claim, knowledge } = setUpOwner(3, undefined, 2);
  control.adapters.newestVersion = () =>
    Math.max(1, knowledge.versions.newest(MODEL, adapterId("a")));
  claim("node-1", 4);
  const answer = requestUse(owner, "a");
  while (control.adapters.loadedAdapters.size === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  knowledge.adapterVersion(MODEL, adapterId("a"), 7);
  t.is((await answer).kind, "granted");
  t.is(control.orders.length, 1);
  t.is(control.adapters.versionOf(adapterId("a")), 1);
  owner.stop();
});

test("without an order permission nothing is ordered", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-2", 4);
  const answer = await requestUse(owner, "a", 100);
  t.not(answer.kind, "granted");
  t.deepEqual(control.orders, []);
  owner.stop();
});

test("a new owner that may not order yet grants loaded adapters, and refuses others at once", async (t) => {
  const { owner, control, claim } = setUpOwner();
  control.adapters.loadedAdapters.add(adapterId("a"));
  claim("node-1", 4, 60_000);
  void owner.runDueSteps();
  while (owner.digest.adapters.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.is((await requestUse(owner, "a")).kind, "granted");
  t.is((await requestUse(owner, "b", 60_000)).kind, "no_room");
  t.is(owner.digest.room, 0);
  t.deepEqual(control.orders, []);
  owner.stop();
});

test("an order without an answer is sent again, and executed once", async (t) => {
  for (const fate of ["lost", "late", "answer_lost"] as const) {
    const { owner, control, claim } = setUpOwner();
    control.fates.nextOutcomes = [fate];
    claim("node-1", 4);
    const answer = await requestUse(owner, "a");
    t.is(answer.kind, "granted", fate);
    control.fates.executeLate();
    t.deepEqual([...control.adapters.loadedAdapters], ["a"]);
    t.is(control.adapters.orderCount, 1, fate);
    owner.stop();
  }
});

test("late orders never exceed the slots", async (t) => {
  const { owner, control, claim } = setUpOwner(2);
  control.fates.nextOutcomes = [
    "late",
    "answered",
    "late",
    "answered",
    "answered",
    "late",
  ];
  claim("node-1", 4);
  for (const adapter of ["a", "b", "c", "d", "a"]) {
    release(await requestUse(owner, adapter));
    control.fates.executeLate();
  }
  t.false(control.adapters.hasExceededSlots);
  t.true(control.adapters.loadedAdapters.size <= 2);
  owner.stop();
});

test("a wrong order count is detected and corrected while a load is checked", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  const waiting = requestUse(owner, "a");
  while (control.adapters.loadedAdapters.size === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  control.adapters.orderCount += 1;
  t.is((await waiting).kind, "granted");
  t.is((await requestUse(owner, "b")).kind, "granted");
  owner.stop();
});

test("a request that waits for an engine that becomes unreachable is refused at once", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  control.isDown = true;
  t.is((await requestUse(owner, "b")).kind, "no_room");
  t.false(owner.digest.isReachable);
  t.is((await requestUse(owner, "a")).kind, "no_room");
  control.isDown = false;
  while (!owner.digest.isReachable) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.is((await requestUse(owner, "b")).kind, "granted");
  owner.stop();
});

test("a rejected fencing number is not used again", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  control.adapters.highestFence = 9;
  const answer = await requestUse(owner, "a", 400);
  t.not(answer.kind, "granted");
  t.is(control.orders.length, 1);
  owner.stop();
});

// Guards against taking the target of a request for the time that it waits.
test("a late request that names no longest wait has its adapter loaded", async (t) => {
  const { owner, claim } = setUpOwner();
  claim("node-1", 4);
  t.is((await requestUse(owner, "a", 5_000, -100)).kind, "granted");
  owner.stop();
});

test("a full engine takes no further request until one ends", async (t) => {
  const { owner, claim } = setUpOwner();
  claim("node-1", 4);
  const first = await requestUse(owner, "a");
  const uses = [first];
  while (!owner.digest.isFull) uses.push(await requestUse(owner, "a"));
  t.true(uses.length < SERVER.slots);
  t.is((await requestUse(owner, "a")).kind, "no_room");
  release(first);
  t.is((await requestUse(owner, "a")).kind, "granted");
  owner.stop();
});

test("requests beyond an engine's places don't wait for a load, so that another engine loads the adapter", async (t) => {
  const { createOwner, claim } = setUpOwner();
  const owner = createOwner({ ...SERVER, slots: 3 });
  claim("node-1", 4);
  const answers = ["a", "a", "a", "a"].map((adapter) =>
    requestUse(owner, adapter)
  );
  const refused = await Promise.race(answers);
  t.is(refused.kind, "no_room");
  t.is(await answers[3], refused);
  for (const answer of answers.slice(0, 3)) {
    t.is((await answer).kind, "granted");
  }
  owner.stop();
});

test("a new owner expects what its engine cached under the one before, within its slots and until a restart", async (t) => {
  const { createOwner, control, claim, knowledge } = setUpOwner(2);
  const names = ["a", "b", "c", "d"].map((adapter) => ({
    model: MODEL,
    adapter: adapterId(adapter),
  }));
  knowledge.cachedAdapters.observe(SERVER.id, {
    start: SERVER.start,
    adapters: names.map((name) => ({ ...name, version: 0 })),
    cacheSize: 10,
  });
  const owner = createOwner(SERVER);
  claim("node-1", 4);
  const sources = () => names.map((name) => owner.expectedLoad(name, 0).source);
  t.deepEqual(sources(), ["cache", "cache", "cache", "cache"]);
  for (const { adapter } of names) release(await requestUse(owner, adapter));
  t.false(control.adapters.hasExceededSlots);
  control.adapters.restart(serverStart(2_000));
  owner.update({ ...SERVER, start: serverStart(2_000) });
  t.deepEqual(sources(), ["store", "store", "store", "store"]);
  owner.stop();
});

test("loads are counted by where they come from", async (t) => {
  const { owner, claim, knowledge } = setUpOwner(1);
  claim("node-1", 4);
  for (const adapter of ["a", "b", "a"]) {
    release(await requestUse(owner, adapter));
  }
  const { counts } = knowledge.workCounts;
  t.is(counts.get("adapter_store_load"), 2);
  t.is(counts.get("adapter_cache_load"), 1);
  t.is(counts.get("adapter_eviction"), 2);
  t.is(counts.get("adapter_avoidable_load"), undefined);
  owner.stop();
});
