import type { RelayCluster } from "@foxtailwind/bench";
import { serverStart } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS,
  nodeOf,
  startCluster,
  until,
  untilOwned,
} from "./helpers/cluster.ts";

const ENGINE = "engine-1";
const OTHER = "engine-2";
const SERVED = 200;
const NOT_RUN = 503;

function engineOf(cluster: RelayCluster, id: string) {
  const engine = cluster.engines.get(id);
  if (engine === undefined) throw new RangeError(`There is no engine ${id}.`);
  return engine;
}

/** Asks until the answer is whole; what may have run is not asked again. */
async function serve(
  t: ExecutionContext,
  cluster: RelayCluster,
  node: RelayDaemon,
  adapter: string,
): Promise<void> {
  await until(async () => {
    const { status, body } = await cluster.generate(node, adapter);
    if (status === NOT_RUN) return false;
    t.is(status, SERVED, body);
    t.is(body.split(`data: ${adapter}\n`).length - 1, EVENTS);
    return true;
  });
}

/** Asks for adapters until an engine has run one, and so is in use. */
async function serveAt(
  t: ExecutionContext,
  cluster: RelayCluster,
  id: string,
  node = nodeOf(cluster, 0),
): Promise<void> {
  const engine = engineOf(cluster, id);
  const before = engine.runs.length;
  let adapters = 0;
  await until(async () => {
    adapters += 1;
    await serve(t, cluster, node, `${id}-${adapters}`);
    return engine.runs.length > before;
  });
}

/** Waits until an engine that started again has its model again. */
async function untilLoaded(cluster: RelayCluster, id: string): Promise<void> {
  await until(() => engineOf(cluster, id).adapters.models.length > 0);
}

/** Gives the place among the nodes of the one that owns the engine. */
function ownerOf(cluster: RelayCluster): number {
  const claim = cluster.store.claims.findLast((one) => one.engine === ENGINE);
  return Number(claim?.owner.slice("node-".length)) - 1;
}

function checkSound(t: ExecutionContext, cluster: RelayCluster): void {
  for (const { id, adapters, runs } of cluster.engines.values()) {
    t.false(adapters.isOverfull, id);
    t.is(new Set(runs).size, runs.length, "Nothing ran twice.");
  }
  const all = [...cluster.engines.values()].flatMap((engine) => engine.runs);
  t.is(new Set(all).size, all.length, "Nothing ran at two engines.");
}

async function startOwned(t: ExecutionContext, nodes = 2) {
  const cluster = await startCluster(t, nodes);
  await untilOwned(cluster);
  return cluster;
}

test("servers that start again under their ids are used again", async (t) => {
  const cluster = await startOwned(t);
  for (const id of [ENGINE, OTHER]) {
    await serveAt(t, cluster, id);
    const claims = cluster.store.claims.length;
    cluster.restart(id);
    await untilLoaded(cluster, id);
    await serveAt(t, cluster, id);
    t.is(cluster.store.claims.length, claims, "Its owner stays the same.");
  }
  cluster.restart("lookup-1");
  t.is((await cluster.lookUp(nodeOf(cluster, 1))).status, SERVED);
  checkSound(t, cluster);
});

test("an engine that starts again before its first entry is read is used at its last start", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  cluster.restart(ENGINE, { isUnregistered: true });
  cluster.restart(ENGINE, { isUnregistered: true });
  const last = cluster.restart(ENGINE);
  t.is(engineOf(cluster, ENGINE).adapters.start, last);
  await untilLoaded(cluster, ENGINE);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});

test("what runs when its engine starts again is lost, and is not run again", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  const engine = engineOf(cluster, ENGINE);
  const adapter = [...engine.adapters.held][0] ?? "";
  const before = engine.runs.length;
  const running = cluster.generate(nodeOf(cluster, 0), adapter)
    .catch(() => ({ status: 0, body: "" }));
  await until(() => engine.runs.length > before);
  cluster.restart(ENGINE);
  const { status, body } = await running;
  const events = body.split("data: ").length - 1;
  t.false(status === SERVED && events === EVENTS);
  t.not(status, NOT_RUN, "It may have run.");
  await untilLoaded(cluster, ENGINE);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});

test("an engine that starts again while its owner changes gets the new owner's orders only", async (t) => {
  const cluster = await startOwned(t, 3);
  await serveAt(t, cluster, ENGINE);
  const before = ownerOf(cluster);
  const stopped = nodeOf(cluster, before).stop();
  cluster.restart(ENGINE);
  await until(() => ownerOf(cluster) !== before);
  cluster.restart(ENGINE);
  const node = nodeOf(cluster, (before + 1) % 3);
  await untilLoaded(cluster, ENGINE);
  await serve(t, cluster, node, "after-the-change");
  await stopped;
  await serve(t, cluster, node, "after-the-stop");
  checkSound(t, cluster);
});

test("an order that has no answer and is carried out after a restart leads past no slot", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  const { fates } = engineOf(cluster, ENGINE);
  fates.nextFates = ["late", "late", "late", "late", "late"];
  const node = nodeOf(cluster, 0);
  const waiting = ["a", "b", "c", "d", "e", "f"].map((adapter) =>
    serve(t, cluster, node, adapter)
  );
  await until(() => fates.lateCount > 0);
  cluster.restart(ENGINE);
  fates.carryOutLateAt = 3;
  await Promise.all(waiting);
  fates.carryOutLate();
  for (const adapter of ["g", "h", "i", "j"]) {
    await serve(t, cluster, node, adapter);
  }
  checkSound(t, cluster);
});

test("an engine that starts again while it leaves is there to be used", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  cluster.leave(ENGINE);
  await serveAt(t, cluster, OTHER);
  cluster.restart(ENGINE);
  await untilLoaded(cluster, ENGINE);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});

test("an engine that starts again while the store is down is used at its new start", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  cluster.store.isUp = false;
  cluster.restart(ENGINE);
  cluster.restart(OTHER);
  await serveAt(t, cluster, ENGINE);
  await serveAt(t, cluster, OTHER);
  cluster.store.isUp = true;
  await sleep(400);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});

test("an engine whose clock stepped back is used at its new start", async (t) => {
  const cluster = await startOwned(t);
  await serveAt(t, cluster, ENGINE);
  cluster.restart(ENGINE, { start: serverStart(1_000) });
  await untilLoaded(cluster, ENGINE);
  await serveAt(t, cluster, ENGINE);
  cluster.restart(ENGINE, {
    start: serverStart(500),
    isUnregistered: true,
  });
  // Others can't tell it from a late word of the owner before its entry.
  await serveAt(t, cluster, ENGINE, nodeOf(cluster, ownerOf(cluster)));
  cluster.register(ENGINE);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});

test("an engine whose entry lapses keeps its owner's claim until it is back", async (t) => {
  const cluster = await startOwned(t);
  const claims = cluster.store.claims.length;
  cluster.store.isUp = false;
  cluster.store.unregister(ENGINE);
  await sleep(300);
  cluster.store.isUp = true;
  await sleep(3_500);
  cluster.restart(ENGINE);
  await untilLoaded(cluster, ENGINE);
  t.is(cluster.store.claims.length, claims);
  await serveAt(t, cluster, ENGINE);
  checkSound(t, cluster);
});
