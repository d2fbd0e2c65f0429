import { standInConfiguration } from "@foxtailwind/bench";
import { type RegisteredServer, serverStart } from "@foxtailwind/core";
import type { EngineOwner } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  MODEL,
  release,
  SERVER,
  setUpOwner,
  use,
} from "./helpers/owned_engine.ts";
import type { ScriptedEngine } from "./helpers/scripted_engine.ts";

const SECOND = serverStart(2_000);
/** All copies of an order that an owner sends. */
const LATE = ["late", "late", "late", "late", "late"] as const;

/** Starts the engine again, and returns how the registry then tells it. */
function restart(
  control: ScriptedEngine,
  start = SECOND,
  models = [MODEL],
): RegisteredServer {
  control.adapters.restart(start);
  control.adapters.models = models;
  return { ...SERVER, start };
}

function adaptersOf(owner: EngineOwner): readonly string[] {
  return owner.digest.adapters.map((held) => held.adapter);
}

async function untilStart(owner: EngineOwner, start: number): Promise<void> {
  while (owner.digest.start !== start) await sleep(5);
}

test("an owner begins anew with an engine that has started again", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  release(await use(owner, "b"));
  owner.update(restart(control));
  t.deepEqual(adaptersOf(owner), [], "Nothing is held.");
  t.is(owner.digest.start, SECOND);
  const before = control.orders.length;
  const answer = await use(owner, "a");
  t.is(answer.kind, "granted");
  t.is(control.orders[before]?.expectedOrders, 0, "Its count begins anew.");
  t.deepEqual([...control.adapters.held], ["a"]);
  owner.stop();
});

test("a use that was granted at the start before ends with it", async (t) => {
  const { owner, control, claim } = setUpOwner(1);
  claim("node-1", 4);
  const granted = await use(owner, "a");
  t.is(owner.digest.running, 1);
  owner.update(restart(control));
  t.is(owner.digest.running, 0);
  t.true(granted.kind === "granted" && granted.over.aborted);
  t.is((await use(owner, "b")).kind, "granted", "The slot is free.");
  release(granted);
  t.is(owner.digest.running, 1, "The other one's end is nothing to this one.");
  owner.stop();
});

test("who waits while the engine starts again is answered at once", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  control.fates.nextFates = Array.from({ length: 50 }, () => "lost" as const);
  const waiting = use(owner, "b", 60_000);
  await sleep(0);
  owner.update(restart(control));
  t.is((await waiting).kind, "no_room");
  owner.stop();
});

test("a report that names a newer start is news before the registry tells it", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  restart(control);
  t.is((await use(owner, "b")).kind, "no_room", "The start it waited at.");
  t.is(owner.digest.start, SECOND);
  t.is((await use(owner, "b")).kind, "granted");
  t.deepEqual(adaptersOf(owner), ["b"]);
  owner.update(SERVER);
  t.is(owner.digest.start, SECOND, "The registry is read late.");
  t.deepEqual(adaptersOf(owner), ["b"]);
  owner.stop();
});

test("a report that was answered before the restart is left out, with a line in the log", async (t) => {
  const lines: string[] = [];
  const { owner, control, claim } = setUpOwner(2, (line) => lines.push(line));
  claim("node-1", 4);
  release(await use(owner, "a"));
  const old = control.adapters.report;
  const restarted = restart(control);
  control.nextReports = [old];
  owner.update(restarted);
  t.is((await use(owner, "b")).kind, "granted");
  t.deepEqual(adaptersOf(owner), ["b"]);
  const dropped = lines.filter((line) =>
    line.includes("A report of an older start is left out.")
  );
  t.is(dropped.length, 1);
  owner.stop();
});

test("an engine whose clock stepped back is followed by its reports", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  const stepped = serverStart(500);
  restart(control, stepped);
  void use(owner, "b");
  await untilStart(owner, stepped);
  owner.update(SERVER);
  t.is(owner.digest.start, stepped, "The registry says nothing new.");
  t.is((await use(owner, "c")).kind, "granted");
  owner.update({ ...SERVER, start: stepped });
  t.true(adaptersOf(owner).includes("c"));
  owner.stop();
});

test("the answer to an order of the start before says nothing of the new one", async (t) => {
  for (const kind of ["misdirected", "fenced"] as const) {
    const { owner, control, claim, knowledge } = setUpOwner();
    claim("node-1", 4);
    release(await use(owner, "a"));
    control.nextAnswers = [{ kind }];
    void use(owner, "b");
    await Promise.resolve();
    owner.update(restart(control));
    t.is((await use(owner, "c")).kind, "granted", kind);
    t.not(knowledge.claims.orderPermission(SERVER.id), undefined);
    owner.stop();
  }
});

/** Lets an order stay unanswered, and the next start carry it out when full. */
async function leaveLateOrder(
  { owner, control, claim, knowledge }: ReturnType<typeof setUpOwner>,
): Promise<RegisteredServer> {
  knowledge.configuration(standInConfiguration(1, 2));
  claim("node-1", 4);
  release(await use(owner, "a"));
  release(await use(owner, "b"));
  control.fates.nextFates = ["answered", ...LATE];
  void use(owner, "c");
  while (control.fates.lateCount < LATE.length) await sleep(5);
  // The model's load and two adapters may fill it up to the count they expect.
  control.fates.carryOutLateAt = 3;
  return restart(control, SECOND, []);
}

async function fillPastLateOrder(
  t: ExecutionContext,
  owner: EngineOwner,
  control: ScriptedEngine,
): Promise<void> {
  for (const adapter of ["d", "e", "f", "g"]) {
    release(await use(owner, adapter));
  }
  t.is(control.fates.lateCount, 0);
  t.false(control.adapters.isOverfull);
  t.is((await use(owner, "h")).kind, "granted");
  owner.stop();
}

test("an order that a later start carries out late never leads past its slots", async (t) => {
  const world = setUpOwner(2);
  const server = await leaveLateOrder(world);
  world.owner.update(server);
  await fillPastLateOrder(t, world.owner, world.control);
});

test("an order that is late is remembered where the engine was nobody's in between", async (t) => {
  const world = setUpOwner(2);
  const server = await leaveLateOrder(world);
  world.owner.stop();
  await fillPastLateOrder(t, world.own(server), world.control);
});

test("restarts in series leave the owner with the last one", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  const [second, third] = [SECOND, serverStart(3_000)];
  const entries = [restart(control, second), restart(control, third)];
  const waiting = use(owner, "b");
  for (const entry of entries) owner.update(entry);
  await waiting;
  t.is((await use(owner, "c")).kind, "granted");
  t.is(owner.digest.start, third);
  t.false(control.adapters.isOverfull);
  owner.stop();
});

test("an engine that lacks what its owner granted is asked what it holds, by one report for many misses", async (t) => {
  const { owner, control, claim } = setUpOwner();
  claim("node-1", 4);
  release(await use(owner, "a"));
  const reports = control.reports;
  restart(control);
  for (let misses = 0; misses < 5; misses += 1) owner.missed();
  await untilStart(owner, SECOND);
  t.deepEqual(adaptersOf(owner), []);
  t.is((await use(owner, "a")).kind, "granted");
  t.is(control.reports - reports, 2, "And one of the new start.");
  owner.stop();
});
