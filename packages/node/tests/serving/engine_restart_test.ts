import { adapterId, adapterVersion, classId, modelId } from "@foxtailwind/core";
import test from "ava";
import {
  startTestCluster,
  type TestCluster,
  until,
} from "../helpers/test_cluster.ts";

async function startCluster(
  engineSettings: readonly string[] = [],
  engines = 1,
): Promise<TestCluster> {
  const cluster = await startTestCluster({
    nodes: 1,
    engines,
    engineSettings,
  });
  await cluster.publish([
    {
      kind: "set_class",
      class: classId("drafting"),
      target: { firstTokenMilliseconds: 30_000 },
    },
    ...["notes", "other"].map((adapter) => ({
      kind: "set_adapter" as const,
      adapter: adapterId(adapter),
      model: modelId("base"),
      versions: [adapterVersion("v1")],
      current: adapterVersion("v1"),
    })),
  ]);
  return cluster;
}

async function requestCompletion(
  cluster: TestCluster,
  model = "notes",
  tokens = 3,
): Promise<number> {
  const answer = await fetch(`${cluster.url()}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": "drafting",
    },
    body: JSON.stringify({
      model,
      messages: [{ role: "user", content: "Hello." }],
      max_tokens: tokens,
    }),
  });
  await answer.text();
  return answer.status;
}

test("an engine that restarts cold serves its adapters again", async (t) => {
  const cluster = await startCluster();
  t.teardown(() => cluster.close());
  await until(async () => await requestCompletion(cluster) === 200);
  const [engine] = cluster.engines;
  engine?.restart();
  await until(async () => await requestCompletion(cluster) === 200);
  t.is(engine?.readCounters().evictedInUse, 0);
});

test("waiting requests survive a change of the controller", async (t) => {
  const cluster = await startCluster();
  t.teardown(() => cluster.close());
  await until(async () => await requestCompletion(cluster) === 200);
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
  const answer = requestCompletion(cluster);
  await router.startControlling(engine);
  t.is(await answer, 200);
});

test("an adapter is kept while the engine runs a request whose stream broke", async (t) => {
  const cluster = await startCluster(["adapter_slots=1"]);
  t.teardown(() => cluster.close());
  await until(async () => await requestCompletion(cluster) === 200);
  const [engine] = cluster.engines;
  engine?.setFaults({ dropNextStreams: 8, dropStreamAfterTokens: 1 });
  await requestCompletion(cluster, "notes", 400);
  engine?.setFaults({});
  await until(async () => await requestCompletion(cluster, "other") === 200);
  t.is(engine?.readCounters().evictedInUse, 0);
});

test("requests are sent to another engine while one refuses connections", async (t) => {
  const cluster = await startCluster([], 2);
  t.teardown(() => cluster.close());
  await until(async () => await requestCompletion(cluster) === 200);
  const started = cluster.engines.map((engine) =>
    engine.readCounters().generationsStarted
  );
  t.is(await requestCompletion(cluster), 200);
  const homeEngine = cluster.engines.find((engine, index) =>
    engine.readCounters().generationsStarted !== started[index]
  );
  homeEngine?.setFaults({ outage: "refuse" });
  const answers = await Promise.all(
    Array.from({ length: 8 }, () => requestCompletion(cluster)),
  );
  t.deepEqual(answers, answers.map(() => 200));
  homeEngine?.setFaults({ outage: "none" });
  await until(() =>
    [...cluster.nodes[0]?.daemon.router.reachableControllers ?? []].length === 2
  );
});
