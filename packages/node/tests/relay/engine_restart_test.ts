import { standInConfiguration } from "@foxtailwind/bench";
import { type RegisteredServer, serverStart } from "@foxtailwind/core";
import type { EngineOwner } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  MODEL,
  release,
  requestUse,
  SERVER,
  setUpOwner,
} from "./helpers/owned_engine.ts";
import type { ScriptedEngine } from "./helpers/scripted_engine.ts";

const SECOND_START = serverStart(2_000);
/** Delays all copies of an order that an owner sends. */
const ALL_SENDS_LATE = ["late", "late", "late", "late", "late"] as const;

/** Restarts the engine, and returns its new registry entry. */
function restart(
  control: ScriptedEngine,
  start = SECOND_START,
  models = [MODEL],
): RegisteredServer {
  control.adapters.restart(start);
  control.adapters.models = models;
  return { ...SERVER, start };
}

function adaptersOf(owner: EngineOwner): readonly string[] {
  return owner.digest.adapters.map((held) => held.adapter);
}

async function waitForStart(owner: EngineOwner, start: number): Promise<void> {
  while (owner.digest.start !== start) await sleep(5);
}

test("an owner starts over with a restarted engine", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  release(await requestUse(owner, "b"));
  owner.update(restart(control));
  t.deepEqual(adaptersOf(owner), [], "Nothing is held.");
  t.is(owner.digest.start, SECOND_START);
  const before = control.orders.length;
  const answer = await requestUse(owner, "a");
  t.is(answer.kind, "granted");
  t.is(
    control.orders[before]?.expectedOrders,
    0,
    "Its count starts from zero.",
  );
  t.deepEqual([...control.adapters.loadedAdapters], ["a"]);
  owner.stop();
});

test("a use ends with the start that it was granted for", async (t) => {
  const { owner, control, claim } = setUpOwner(1);
  claim("node-1", 4);
  const granted = await requestUse(owner, "a");
  t.is(owner.digest.running, 1);
  owner.update(restart(control));
  t.is(owner.digest.running, 0);
  t.true(granted.kind === "granted" && granted.endSignal.aborted);
  t.is((await requestUse(owner, "b")).kind, "granted", "The slot is free.");
  release(granted);
  t.is(
    owner.digest.running,
    1,
    "Releasing the earlier use doesn't affect this one.",
  );
  owner.stop();
});

test("a request that waits while the engine restarts is answered at once", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  control.fates.nextOutcomes = Array.from(
    { length: 50 },
    () => "lost" as const,
  );
  const waiting = requestUse(owner, "b", 60_000);
  await sleep(0);
  owner.update(restart(control));
  t.is((await waiting).kind, "no_room");
  owner.stop();
});

test("a report of a newer start is applied before the registry lists it", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  restart(control);
  t.is(
    (await requestUse(owner, "b")).kind,
    "no_room",
    "The start that it waited for is over.",
  );
  t.is(owner.digest.start, SECOND_START);
  t.is((await requestUse(owner, "b")).kind, "granted");
  t.deepEqual(adaptersOf(owner), ["b"]);
  owner.update(SERVER);
  t.is(owner.digest.start, SECOND_START, "The registry lags.");
  t.deepEqual(adaptersOf(owner), ["b"]);
  owner.stop();
});

test("a report from before the restart is ignored, with a line in the log", async (t) => {
  const lines: string[] = [];
  const { owner, control, claim } = setUpOwner(2, (line) => lines.push(line));
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  const old = control.adapters.report;
  const restarted = restart(control);
  control.nextReports = [old];
  owner.update(restarted);
  t.is((await requestUse(owner, "b")).kind, "granted");
  t.deepEqual(adaptersOf(owner), ["b"]);
  const dropped = lines.filter((line) =>
    line.includes("A report of an older start was ignored.")
  );
  t.is(dropped.length, 1);
  owner.stop();
});

test("an engine whose clock stepped back is tracked by its reports", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  const stepped = serverStart(500);
  restart(control, stepped);
  void requestUse(owner, "b");
  await waitForStart(owner, stepped);
  owner.update(SERVER);
  t.is(owner.digest.start, stepped, "The registry entry has not changed.");
  t.is((await requestUse(owner, "c")).kind, "granted");
  owner.update({ ...SERVER, start: stepped });
  t.true(adaptersOf(owner).includes("c"));
  owner.stop();
});

test("the answer to an order for the earlier start doesn't apply to the new one", async (t) => {
  for (const kind of ["misdirected", "fenced"] as const) {
    const { owner, control, claim, knowledge } = setUpOwner();
    claim("node-1", 4);
    release(await requestUse(owner, "a"));
    control.nextOrderResults = [{ kind }];
    void requestUse(owner, "b");
    await Promise.resolve();
    owner.update(restart(control));
    t.is((await requestUse(owner, "c")).kind, "granted", kind);
    t.not(knowledge.claims.orderPermission(SERVER.id), undefined);
    owner.stop();
  }
});

/** Leaves an order unanswered that the next start executes once it is full. */
async function createLateOrder(
  { owner, control, claim, knowledge }: ReturnType<typeof setUpOwner>,
): Promise<RegisteredServer> {
  knowledge.configuration(standInConfiguration(1, 2));
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  release(await requestUse(owner, "b"));
  control.fates.nextOutcomes = ["answered", ...ALL_SENDS_LATE];
  void requestUse(owner, "c");
  while (control.fates.lateCount < ALL_SENDS_LATE.length) await sleep(5);
  // The loads of the model and two adapters bring it to the expected count.
  control.fates.executeLateAtCount = 3;
  return restart(control, SECOND_START, []);
}

async function fillPastLateOrder(
  t: ExecutionContext,
  owner: EngineOwner,
  control: ScriptedEngine,
): Promise<void> {
  for (const adapter of ["d", "e", "f", "g"]) {
    release(await requestUse(owner, adapter));
  }
  t.is(control.fates.lateCount, 0);
  t.false(control.adapters.hasExceededSlots);
  t.is((await requestUse(owner, "h")).kind, "granted");
  owner.stop();
}

test("an order that a later start executes late never exceeds its slots", async (t) => {
  const setup = setUpOwner(2);
  const server = await createLateOrder(setup);
  setup.owner.update(server);
  await fillPastLateOrder(t, setup.owner, setup.control);
});

test("a late order is remembered after the engine had no owner for a while", async (t) => {
  const setup = setUpOwner(2);
  const server = await createLateOrder(setup);
  setup.owner.stop();
  await fillPastLateOrder(t, setup.createOwner(server), setup.control);
});

test("after several restarts the owner follows the last one", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  const [second, third] = [SECOND_START, serverStart(3_000)];
  const entries = [restart(control, second), restart(control, third)];
  const waiting = requestUse(owner, "b");
  for (const entry of entries) owner.update(entry);
  await waiting;
  t.is((await requestUse(owner, "c")).kind, "granted");
  t.is(owner.digest.start, third);
  t.false(control.adapters.hasExceededSlots);
  owner.stop();
});

test("many misses at an engine trigger one report", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await requestUse(owner, "a"));
  const reports = control.reportCount;
  restart(control);
  for (let misses = 0; misses < 5; misses += 1) owner.recordMiss();
  await waitForStart(owner, SECOND_START);
  t.deepEqual(adaptersOf(owner), []);
  t.is((await requestUse(owner, "a")).kind, "granted");
  t.is(control.reportCount - reports, 2, "One of them is of the new start.");
  owner.stop();
});
