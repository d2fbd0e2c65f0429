import test from "ava";
import { ClusterHandOver } from "@foxtailwind/node";
import { startCluster } from "../helpers/cluster.ts";
import { until } from "../helpers/deployment.ts";

test("nodes that all leave at once do not wait for each other", async (t) => {
  const { nodes } = await startCluster(t, 3);
  await until(() =>
    nodes.every(({ cluster }) => cluster.liveMembers.length === 3)
  );
  await until(() =>
    nodes.some(({ cluster }) => cluster.controlledEngines.length > 0)
  );
  const released = await Promise.all(nodes.map(async ({ cluster }) => {
    const handOver = new ClusterHandOver(cluster);
    await handOver.announceLeaving();
    return await handOver.releaseEngines();
  }));
  t.true(released.every((result) => result.isOk()));
});
