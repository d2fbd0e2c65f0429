import type { RelayCluster } from "@foxtailwind/bench";
import { serverStart } from "@foxtailwind/core";
import type { RelayDaemon } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS_PER_STREAM,
  getNode,
  startCluster,
  waitUntil,
  waitUntilOwned,
} from "./helpers/cluster.ts";

const ENGINE = "engine-1";
const OTHER_ENGINE = "engine-2";
const HTTP_OK = 200;
const SERVICE_UNAVAILABLE = 503;

function getEngine(cluster: RelayCluster, id: string) {
  const engine = cluster.engines.get(id);
  if (engine === undefined) throw new RangeError(`There is no engine ${id}.`);
  return engine;
}

/** Repeats a request while it has not run, then expects a complete answer. */
async function generateUntilServed(
  t: ExecutionContext,
  cluster: RelayCluster,
  node: RelayDaemon,
  adapter: string,
): Promise<void> {
  await waitUntil(async () => {
    const { status, body } = await cluster.generate(node, adapter);
    if (status === SERVICE_UNAVAILABLE) return false;
    t.is(status, HTTP_OK, body);
    t.is(body.split(`data: ${adapter}\n`).length - 1, EVENTS_PER_STREAM);
    return true;
  });
}

/** Requests new adapters until an engine has run one of the requests. */
async function generateOnEngine(
  t: ExecutionContext,
  cluster: RelayCluster,
  id: string,
  node = getNode(cluster, 0),
): Promise<void> {
  const engine = getEngine(cluster, id);
  const runsBefore = engine.runs.length;
  let adapterCount = 0;
  await waitUntil(async () => {
    adapterCount += 1;
    await generateUntilServed(t, cluster, node, `${id}-${adapterCount}`);
    return engine.runs.length > runsBefore;
  });
}

/** Waits until a restarted engine has loaded its model. */
async function waitUntilLoaded(
  cluster: RelayCluster,
  id: string,
): Promise<void> {
  await waitUntil(() => getEngine(cluster, id).adapters.models.length > 0);
}

/** Returns the index of the node that owns {@link ENGINE}. */
function ownerIndex(cluster: RelayCluster): number {
  const claim = cluster.store.claims.findLast((one) => one.engine === ENGINE);
  return Number(claim?.owner.slice("node-".length)) - 1;
}

function assertInvariants(t: ExecutionContext, cluster: RelayCluster): void {
  for (const { id, adapters, runs } of cluster.engines.values()) {
    t.false(adapters.hasExceededSlots, id);
    t.is(new Set(runs).size, runs.length, "No request ran twice.");
  }
  const allRuns = [...cluster.engines.values()].flatMap((engine) =>
    engine.runs
  );
  t.is(new Set(allRuns).size, allRuns.length, "No request ran at two engines.");
}

async function startOwnedCluster(t: ExecutionContext, nodes = 2) {
  const cluster = await startCluster(t, nodes);
  await waitUntilOwned(cluster);
  return cluster;
}

test("servers that restart under their ids are used again", async (t) => {
  const cluster = await startOwnedCluster(t);
  for (const id of [ENGINE, OTHER_ENGINE]) {
    await generateOnEngine(t, cluster, id);
    const claims = cluster.store.claims.length;
    cluster.restart(id);
    await waitUntilLoaded(cluster, id);
    await generateOnEngine(t, cluster, id);
    t.is(cluster.store.claims.length, claims, "Its owner stays the same.");
  }
  cluster.restart("lookup-1");
  t.is((await cluster.lookUp(getNode(cluster, 1))).status, HTTP_OK);
  assertInvariants(t, cluster);
});

test("an engine that restarts again before its entry is read is used at its last start", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  cluster.restart(ENGINE, { isUnregistered: true });
  cluster.restart(ENGINE, { isUnregistered: true });
  const last = cluster.restart(ENGINE);
  t.is(getEngine(cluster, ENGINE).adapters.start, last);
  await waitUntilLoaded(cluster, ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});

test("a request running when its engine restarts is lost and not repeated", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  const engine = getEngine(cluster, ENGINE);
  const adapter = [...engine.adapters.loadedAdapters][0] ?? "";
  const before = engine.runs.length;
  const running = cluster.generate(getNode(cluster, 0), adapter)
    .catch(() => ({ status: 0, body: "" }));
  await waitUntil(() => engine.runs.length > before);
  cluster.restart(ENGINE);
  const { status, body } = await running;
  const events = body.split("data: ").length - 1;
  t.false(status === HTTP_OK && events === EVENTS_PER_STREAM);
  t.not(status, SERVICE_UNAVAILABLE, "It may have run.");
  await waitUntilLoaded(cluster, ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});

test("an engine that restarts while its owner changes gets only the new owner's orders", async (t) => {
  const cluster = await startOwnedCluster(t, 3);
  await generateOnEngine(t, cluster, ENGINE);
  const before = ownerIndex(cluster);
  const stopped = getNode(cluster, before).stop();
  cluster.restart(ENGINE);
  await waitUntil(() => ownerIndex(cluster) !== before);
  cluster.restart(ENGINE);
  const node = getNode(cluster, (before + 1) % 3);
  await waitUntilLoaded(cluster, ENGINE);
  await generateUntilServed(t, cluster, node, "after-the-change");
  await stopped;
  await generateUntilServed(t, cluster, node, "after-the-stop");
  assertInvariants(t, cluster);
});

test("late orders executed after a restart don't exceed the engine's slots", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  const { orderDelivery: fates } = getEngine(cluster, ENGINE);
  fates.nextOutcomes = ["late", "late", "late", "late", "late"];
  const node = getNode(cluster, 0);
  const waiting = ["a", "b", "c", "d", "e", "f"].map((adapter) =>
    generateUntilServed(t, cluster, node, adapter)
  );
  await waitUntil(() => fates.lateCount > 0);
  cluster.restart(ENGINE);
  fates.executeLateAtCount = 3;
  await Promise.all(waiting);
  fates.executeLate();
  for (const adapter of ["g", "h", "i", "j"]) {
    await generateUntilServed(t, cluster, node, adapter);
  }
  assertInvariants(t, cluster);
});

test("an engine that restarts while leaving is used again", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  cluster.markLeaving(ENGINE);
  await generateOnEngine(t, cluster, OTHER_ENGINE);
  cluster.restart(ENGINE);
  await waitUntilLoaded(cluster, ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});

test("an engine that restarts during a store outage is used at its new start", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  cluster.store.isUp = false;
  cluster.restart(ENGINE);
  cluster.restart(OTHER_ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  await generateOnEngine(t, cluster, OTHER_ENGINE);
  cluster.store.isUp = true;
  await sleep(400);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});

test("an engine whose clock stepped back is used at its new start", async (t) => {
  const cluster = await startOwnedCluster(t);
  await generateOnEngine(t, cluster, ENGINE);
  cluster.restart(ENGINE, { start: serverStart(1_000) });
  await waitUntilLoaded(cluster, ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  cluster.restart(ENGINE, {
    start: serverStart(500),
    isUnregistered: true,
  });
  // Without the entry, other nodes can't tell the new start from a delayed
  // message of the owner.
  await generateOnEngine(
    t,
    cluster,
    ENGINE,
    getNode(cluster, ownerIndex(cluster)),
  );
  cluster.register(ENGINE);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});

test("an engine whose registry entry lapses keeps its owner's claim until it returns", async (t) => {
  const cluster = await startOwnedCluster(t);
  const claims = cluster.store.claims.length;
  cluster.store.isUp = false;
  cluster.store.unregister(ENGINE);
  await sleep(300);
  cluster.store.isUp = true;
  await sleep(3_500);
  cluster.restart(ENGINE);
  await waitUntilLoaded(cluster, ENGINE);
  t.is(cluster.store.claims.length, claims);
  await generateOnEngine(t, cluster, ENGINE);
  assertInvariants(t, cluster);
});
