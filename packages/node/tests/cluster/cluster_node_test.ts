import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { holderOf, startCluster, type TestNode } from "../helpers/cluster.ts";
import { until } from "../helpers/deployment.ts";

async function holderAmong(nodes: readonly TestNode[]): Promise<TestNode> {
  await until(() => holderOf(nodes) !== undefined);
  const holder = holderOf(nodes);
  if (holder === undefined) throw new Error("No node has the right");
  return holder;
}

test("a killed node's engine is taken over", async (t) => {
  const { nodes } = await startCluster(t, 3);
  await until(() => nodes.every(({ cluster }) => cluster.live.length === 3));
  const holder = await holderAmong(nodes);
  const killedAt = performance.now();
  await holder.kill();
  const others = nodes.filter((node) => node !== holder);
  const next = await holderAmong(others);
  t.log(`taken over in ${Math.round(performance.now() - killedAt)} ms`);
  t.not(next.id, holder.id);
});

test("a controller that was paused past its lease gives no order", async (t) => {
  const { nodes } = await startCluster(t, 3);
  const holder = await holderAmong(nodes);
  holder.clock.skip(1_500);
  t.is(holderOf([holder]), undefined);
});

test("promises carry the right through an outage of the log", async (t) => {
  const { log, nodes } = await startCluster(t, 3);
  await until(() => nodes.every(({ cluster }) => cluster.live.length === 3));
  const holder = await holderAmong(nodes);
  await sleep(1_500);
  log.setFaults({ outage: "refuse" });
  for (let round = 0; round < 40; round += 1) {
    await sleep(100);
    t.is(holderOf(nodes)?.id, holder.id);
  }
  log.setFaults({ outage: "none" });
  await until(() => nodes.every(({ cluster }) => cluster.live.length === 3));
  t.is(holderOf(nodes)?.id, holder.id);
});

test("a leaving node hands its engine over before it stops", async (t) => {
  const { nodes } = await startCluster(t, 3);
  await until(() => nodes.every(({ cluster }) => cluster.live.length === 3));
  const holder = await holderAmong(nodes);
  await holder.cluster.leave();
  await until(() => holder.cluster.controlled.length === 0);
  const next = await holderAmong(nodes.filter((node) => node !== holder));
  t.not(next.id, holder.id);
});
