import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS_PER_STREAM,
  getNode,
  startCluster as start,
  waitUntil,
  waitUntilOwned,
} from "./helpers/cluster.ts";

test("each node serves lookups and generations, loading adapters on demand", async (t) => {
  const cluster = await start(t, 3);
  await waitUntilOwned(cluster);
  for (const [index, daemon] of cluster.daemons.entries()) {
    t.is((await cluster.lookUp(daemon)).body, "looked up /lookups/slots");
    for (const adapter of [`a${index}`, "shared"]) {
      await waitUntil(async () => {
        const { status, body } = await cluster.generate(daemon, adapter);
        if (status === 503) return false;
        t.is(status, 200);
        t.is(body.split(`data: ${adapter}\n`).length - 1, EVENTS_PER_STREAM);
        return true;
      });
    }
  }
  for (const engine of cluster.engines.values()) {
    t.false(engine.adapters.hasExceededSlots);
    t.is(new Set(engine.runs).size, engine.runs.length, "Nothing ran twice.");
  }
});

test("more adapters than fit are served in turn without overfilling an engine", async (t) => {
  const cluster = await start(t, 2);
  await waitUntilOwned(cluster);
  const node = getNode(cluster, 0);
  const adapters = Array.from({ length: 12 }, (_, index) => `a${index}`);
  const served = await Promise.all(adapters.map(async (adapter) => {
    let answer = await cluster.generate(node, adapter);
    while (answer.status === 503) {
      await sleep(50);
      answer = await cluster.generate(node, adapter);
    }
    return answer.body.split(`data: ${adapter}\n`).length - 1;
  }));
  t.deepEqual(served, adapters.map(() => EVENTS_PER_STREAM));
  for (const engine of cluster.engines.values()) {
    t.false(engine.adapters.hasExceededSlots);
  }
});

test("a configuration takes effect at every node, also after a store outage", async (t) => {
  const cluster = await start(t, 2);
  cluster.configure(2, false);
  for (const daemon of cluster.daemons) {
    t.is((await cluster.lookUp(daemon)).status, 404);
  }
  cluster.store.isUp = false;
  cluster.configure(3, true);
  await sleep(300);
  for (const daemon of cluster.daemons) {
    t.true(
      await cluster.isReady(daemon),
      "It serves with the last known configuration.",
    );
    t.is((await cluster.lookUp(daemon)).status, 404);
  }
  cluster.store.isUp = true;
  for (const daemon of cluster.daemons) {
    await waitUntil(async () => (await cluster.lookUp(daemon)).status === 200);
  }
  t.pass();
});

test("a node whose log delivers nothing takes the configuration from its peers", async (t) => {
  const cluster = await start(t, 3);
  cluster.configure(2, false);
  const [silent] = cluster.logs;
  if (silent === undefined) throw new RangeError("There is no log.");
  silent.isSilent = true;
  cluster.configure(3, true);
  const node = getNode(cluster, 0);
  await waitUntil(async () => (await cluster.lookUp(node)).status === 200);
  t.true(silent.isSilent, "Its own log has delivered nothing.");
});

test("a stopping node leaves the addresses, completes its requests and hands over its engines", async (t) => {
  const cluster = await start(t, 2);
  await waitUntilOwned(cluster);
  const [leaving, staying] = [getNode(cluster, 0), getNode(cluster, 1)];
  await waitUntil(async () => (await cluster.addresses(staying)).length === 2);
  const before = cluster.store.claims.length;
  const running = Promise.all(
    ["a1", "a2", "a3"].map((adapter) => cluster.generate(leaving, adapter)),
  );
  const stopped = leaving.stop();
  t.false(await cluster.isReady(leaving));
  await waitUntil(async () =>
    !(await cluster.addresses(staying)).includes(leaving.callerAddress)
  );
  for (const { status, body } of await running) {
    t.true(
      status === 503 || body.split("data: ").length - 1 === EVENTS_PER_STREAM,
      `${status} ${body}`,
    );
  }
  await stopped;
  await waitUntil(() => {
    const newest = new Map(
      cluster.store.claims.map((claim) => [claim.engine, String(claim.owner)]),
    );
    return [...newest.values()].every((owner) => owner === "node-2");
  });
  t.true(cluster.store.claims.length >= before);
  await waitUntil(async () =>
    (await cluster.generate(staying, "a1")).status === 200
  );
  t.pass();
});
