import test from "ava";
import {
  startTestCluster,
  type TestCluster,
  until,
} from "../helpers/test_cluster.ts";

async function start(): Promise<TestCluster> {
  const cluster = await startTestCluster({ nodes: 1, engines: 1 });
  await cluster.publish([
    {
      kind: "set_class",
      class: "drafting",
      target: { firstTokenMilliseconds: 30_000 },
    },
    {
      kind: "set_adapter",
      adapter: "notes",
      model: "base",
      versions: ["v1"],
      current: "v1",
    },
  ]);
  return cluster;
}

async function ask(cluster: TestCluster): Promise<number> {
  const answer = await fetch(`${cluster.url()}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": "drafting",
    },
    body: JSON.stringify({
      model: "notes",
      messages: [{ role: "user", content: "Hello." }],
      max_tokens: 3,
    }),
  });
  await answer.text();
  return answer.status;
}

test("an engine that restarts cold serves its adapters again", async (t) => {
  const cluster = await start();
  t.teardown(() => cluster.close());
  await until(async () => await ask(cluster) === 200);
  const [engine] = cluster.engines;
  engine?.restart();
  await until(async () => await ask(cluster) === 200);
  t.is(engine?.readCounters().evictedInUse, 0);
});

test("requests that wait survive a change of the controller", async (t) => {
  const cluster = await start();
  t.teardown(() => cluster.close());
  await until(async () => await ask(cluster) === 200);
  const [node] = cluster.nodes;
  const [engine] = node?.daemon.directory.live("engine") ?? [];
  if (node === undefined || engine === undefined) {
    t.fail("Cannot find the engine");
    return;
  }
  const { router } = node.daemon;
  for (const controller of [...router.controllers]) {
    router.stopControlling(controller.engine);
  }
  const answer = ask(cluster);
  await router.startControlling(engine);
  t.is(await answer, 200);
});
