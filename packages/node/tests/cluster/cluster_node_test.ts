import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
  findOrderingNode,
  startCluster,
  type TestNode,
} from "../helpers/cluster.ts";
import { until } from "../helpers/deployment.ts";

async function waitForController(
  nodes: readonly TestNode[],
): Promise<TestNode> {
  await until(() => findOrderingNode(nodes) !== undefined);
  const controller = findOrderingNode(nodes);
  if (controller === undefined) throw new Error("No node may give orders");
  return controller;
}

test("a killed node's engine is taken over", async (t) => {
  const { nodes } = await startCluster(t, 3);
  await until(() =>
    nodes.every(({ cluster }) => cluster.liveMembers.length === 3)
  );
  const controller = await waitForController(nodes);
  const killedAt = performance.now();
  await controller.kill();
  const others = nodes.filter((node) => node !== controller);
  const next = await waitForController(others);
  t.log(`taken over in ${Math.round(performance.now() - killedAt)} ms`);
  t.not(next.id, controller.id);
});

test("a controller paused for longer than its lease may not give orders", async (t) => {
  const { nodes } = await startCluster(t, 3);
  const controller = await waitForController(nodes);
  controller.clock.advance(1_500);
  t.is(findOrderingNode([controller]), undefined);
});

test("promises keep a controller authorized during a log outage", async (t) => {
  const { log, nodes } = await startCluster(t, 3);
  await until(() =>
    nodes.every(({ cluster }) => cluster.liveMembers.length === 3)
  );
  const controller = await waitForController(nodes);
  await sleep(1_500);
  log.setFaults({ outage: "refuse" });
  for (let round = 0; round < 40; round += 1) {
    await sleep(100);
    t.is(findOrderingNode(nodes)?.id, controller.id);
  }
  log.setFaults({ outage: "none" });
  await until(() =>
    nodes.every(({ cluster }) => cluster.liveMembers.length === 3)
  );
  t.is(findOrderingNode(nodes)?.id, controller.id);
});

test("a leaving node hands its engine over before it stops", async (t) => {
  const { nodes } = await startCluster(t, 3);
  await until(() =>
    nodes.every(({ cluster }) => cluster.liveMembers.length === 3)
  );
  const controller = await waitForController(nodes);
  await controller.cluster.leave();
  await until(() => controller.cluster.controlledEngines.length === 0);
  const next = await waitForController(
    nodes.filter((node) => node !== controller),
  );
  t.not(next.id, controller.id);
});
