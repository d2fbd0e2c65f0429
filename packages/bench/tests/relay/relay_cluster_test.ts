import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EVENTS,
  nodeOf,
  startCluster as start,
  until,
  untilOwned,
} from "./helpers/cluster.ts";

test("each node serves lookups and generations, with adapters brought on demand", async (t) => {
  const cluster = await start(t, 3);
  await untilOwned(cluster);
  for (const [index, daemon] of cluster.daemons.entries()) {
    t.is((await cluster.lookUp(daemon)).body, "looked up /lookups/slots");
    for (const adapter of [`a${index}`, "shared"]) {
      await until(async () => {
        const { status, body } = await cluster.generate(daemon, adapter);
        if (status === 503) return false;
        t.is(status, 200);
        t.is(body.split(`data: ${adapter}\n`).length - 1, EVENTS);
        return true;
      });
    }
  }
  for (const engine of cluster.engines.values()) {
    t.false(engine.adapters.isOverfull);
    t.is(new Set(engine.runs).size, engine.runs.length, "Nothing ran twice.");
  }
});

test("more adapters than fit take turns, and no engine is overfull", async (t) => {
  const cluster = await start(t, 2);
  await untilOwned(cluster);
  const node = nodeOf(cluster, 0);
  const adapters = Array.from({ length: 12 }, (_, index) => `a${index}`);
  const served = await Promise.all(adapters.map(async (adapter) => {
    let answer = await cluster.generate(node, adapter);
    while (answer.status === 503) {
      await sleep(50);
      answer = await cluster.generate(node, adapter);
    }
    return answer.body.split(`data: ${adapter}\n`).length - 1;
  }));
  t.deepEqual(served, adapters.map(() => EVENTS));
  for (const engine of cluster.engines.values()) {
    t.false(engine.adapters.isOverfull);
  }
});

test("a configuration is in force at every node, also after an outage of the store", async (t) => {
  const cluster = await start(t, 2);
  cluster.configure(2, false);
  for (const daemon of cluster.daemons) {
    t.is((await cluster.lookUp(daemon)).status, 404);
  }
  cluster.store.isUp = false;
  cluster.configure(3, true);
  await sleep(300);
  for (const daemon of cluster.daemons) {
    t.true(await cluster.isReady(daemon), "It serves what it knows.");
    t.is((await cluster.lookUp(daemon)).status, 404);
  }
  cluster.store.isUp = true;
  for (const daemon of cluster.daemons) {
    await until(async () => (await cluster.lookUp(daemon)).status === 200);
  }
  t.pass();
});

test("a node whose read of the log gets no answer takes a configuration from its peers", async (t) => {
  const cluster = await start(t, 3);
  cluster.configure(2, false);
  const [silent] = cluster.logs;
  if (silent === undefined) throw new RangeError("There is no log.");
  silent.isSilent = true;
  cluster.configure(3, true);
  const node = nodeOf(cluster, 0);
  await until(async () => (await cluster.lookUp(node)).status === 200);
  t.true(silent.isSilent, "Its own read has told it nothing.");
});

test("a node that stops leaves the addresses, ends nothing midway, and others own its engines", async (t) => {
  const cluster = await start(t, 2);
  await untilOwned(cluster);
  const [leaving, staying] = [nodeOf(cluster, 0), nodeOf(cluster, 1)];
  await until(async () => (await cluster.addresses(staying)).length === 2);
  const before = cluster.store.claims.length;
  const running = Promise.all(
    ["a1", "a2", "a3"].map((adapter) => cluster.generate(leaving, adapter)),
  );
  const stopped = leaving.stop();
  t.false(await cluster.isReady(leaving));
  await until(async () =>
    !(await cluster.addresses(staying)).includes(leaving.callerAddress)
  );
  for (const { status, body } of await running) {
    t.true(
      status === 503 || body.split("data: ").length - 1 === EVENTS,
      `${status} ${body}`,
    );
  }
  await stopped;
  await until(() => {
    const newest = new Map(
      cluster.store.claims.map((claim) => [claim.engine, String(claim.owner)]),
    );
    return [...newest.values()].every((owner) => owner === "node-2");
  });
  t.true(cluster.store.claims.length >= before);
  await until(async () =>
    (await cluster.generate(staying, "a1")).status === 200
  );
  t.pass();
});
