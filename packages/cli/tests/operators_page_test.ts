import test from "ava";
import { InProcessCluster } from "@foxtailwind/bench";
import { failureDomainId, modelId, regionId } from "@foxtailwind/core";
import { FakeEngine } from "@foxtailwind/standins";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { normalise, runPage } from "./console_page.ts";

const PAGE = new URL("../../../docs/OPERATORS.md", import.meta.url);

async function waitUntilInForce(cluster: InProcessCluster): Promise<void> {
  const offsets = () =>
    new Set(
      cluster.nodes.map(({ daemon }) => daemon.follower.configuration.offset),
    );
  while (offsets().size > 1) await sleep(10);
}

test("the operators' page shows the actual output of its commands", async (t) => {
  const cluster = await InProcessCluster.start({ nodes: 3, domains: 3 });
  const engine = new FakeEngine();
  t.teardown(async () => {
    await cluster.stop();
    await engine.close();
  });
  cluster.vmList.setVm({
    id: "engine-1",
    address: new URL(await engine.listen()).host,
    region: regionId("region-1"),
    failureDomain: failureDomainId("domain-1"),
    role: { kind: "engine", model: modelId("base"), checksFencing: true },
    state: "live",
  });
  const [node] = cluster.nodes;
  await node?.daemon.directory.refresh();
  const page = readFileSync(PAGE, "utf8");
  const ran = await runPage(page, {
    node: node?.addresses.http ?? "",
    waitUntilInForce: () => waitUntilInForce(cluster),
  });
  t.is(normalise(ran), normalise(page));
});
