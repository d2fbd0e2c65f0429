import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startTestCluster } from "../helpers/test_cluster.ts";

/** Longer than the lease that reads of the log's tail renew. */
const OUTAGE_MILLISECONDS = 2_500;
const ADAPTERS = ["a", "b", "c", "d", "e", "f"];

test("promises let nodes load adapters during a log outage", async (t) => {
  const cluster = await startTestCluster({ nodes: 3, engines: 2 });
  t.teardown(() => cluster.close());
  await cluster.publish([
    {
      kind: "set_class",
      class: "drafting",
      target: { firstTokenMilliseconds: 10_000 },
    },
    ...ADAPTERS.map((adapter) => ({
      kind: "set_adapter",
      adapter,
      model: "base",
      versions: ["v1"],
      current: "v1",
    })),
  ]);
  await sleep(OUTAGE_MILLISECONDS);
  cluster.log.setFaults({ outage: "refuse" });
  await sleep(OUTAGE_MILLISECONDS);
  const statuses = await Promise.all(ADAPTERS.map(async (adapter, index) => {
    const answer = await fetch(
      `${cluster.url(index % 3)}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "content-type": "application/json",
          "x-foxtailwind-class": "drafting",
        },
        body: JSON.stringify({
          model: adapter,
          messages: [{ role: "user", content: "Hello." }],
          max_tokens: 2,
        }),
      },
    );
    await answer.text();
    return answer.status;
  }));
  t.deepEqual(statuses, ADAPTERS.map(() => 200));
  cluster.log.setFaults({ outage: "none" });
});
