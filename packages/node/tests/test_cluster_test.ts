import test from "ava";
import { startTestCluster } from "./helpers/test_cluster.ts";

test("every node of an in-process cluster serves completions", async (t) => {
  const cluster = await startTestCluster({
    nodes: 3,
    engines: 2,
    services: ["booking"],
  });
  t.teardown(() => cluster.close());
  await cluster.publish([
    {
      kind: "set_class",
      class: "drafting",
      target: { firstTokenMilliseconds: 1_000 },
    },
    {
      kind: "set_adapter",
      adapter: "stain-notes",
      model: "base",
      versions: ["v1"],
      current: "v1",
    },
  ]);
  for (const node of cluster.nodes) {
    const answer = await fetch(`${node.url}/v1/chat/completions`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-foxtailwind-class": "drafting",
      },
      body: JSON.stringify({
        model: "stain-notes",
        messages: [{ role: "user", content: "Hello." }],
        max_tokens: 3,
      }),
    });
    t.is(answer.status, 200);
  }
});
