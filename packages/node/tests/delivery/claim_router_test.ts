import { failureDomainId, regionId, rendezvousChoice } from "@foxtailwind/core";
import { FakeVmList } from "@foxtailwind/standins";
import test from "ava";
import { startTestCluster, until } from "../helpers/test_cluster.ts";

const DOMAIN = "domain-1";
const REFUSED_PORT = 1;

function findGatheringNodeId(others: readonly string[]): string {
  for (let number = 0;; number += 1) {
    const id = `gone-${number}`;
    if (rendezvousChoice(DOMAIN, [...others, id]) === id) return id;
  }
}

test("a node claims a key itself if the gathering node is gone", async (t) => {
  const cluster = await startTestCluster({
    nodes: 2,
    engines: 0,
    services: ["booking"],
  });
  t.teardown(() => cluster.close());
  const id = findGatheringNodeId(cluster.nodes.map((node) => node.id));
  for (const { standIn } of cluster.standIns) {
    if (!(standIn instanceof FakeVmList)) continue;
    standIn.setVm({
      id,
      address: `127.0.0.1:${REFUSED_PORT}`,
      peerAddress: `127.0.0.1:${REFUSED_PORT}`,
      region: regionId("region-1"),
      failureDomain: failureDomainId(DOMAIN),
      role: { kind: "entry" },
      state: "live",
    });
  }
  const [node] = cluster.nodes;
  await until(async () => {
    await node?.daemon.directory.refresh();
    return node?.daemon.directory.vms.some((vm) => vm.id === id) ?? false;
  });
  const answer = await fetch(`${node?.url}/v1/services/booking/slots`, {
    method: "POST",
    headers: { "idempotency-key": "sweep-1" },
    body: "{}",
  });
  t.is(answer.status, 200, await answer.text());
  t.deepEqual(cluster.services[0]?.readCounters().runsByKey, { "sweep-1": 1 });
});
