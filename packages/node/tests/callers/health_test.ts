import { failureDomainId, modelId, regionId } from "@foxtailwind/core";
import { Daemon, LoggerFactory, settingsSchema } from "@foxtailwind/node";
import {
  FakeLogService,
  FakeVmList,
  FakeWeightStore,
} from "@foxtailwind/standins";
import test from "ava";
import { startTestCluster, until } from "../helpers/test_cluster.ts";

const LOG_LEVEL_SILENT = -999;

test("a node is ready once it has the VM list and the configuration", async (t) => {
  const cluster = await startTestCluster({
    nodes: 1,
    engines: 0,
  });
  t.teardown(() => cluster.close());
  const [node] = cluster.nodes;
  const ready = `${node?.url}/readyz`;
  await until(async () => (await fetch(ready)).status === 200);
  t.true(node?.daemon.follower.caughtUp);
  t.deepEqual(await (await fetch(ready)).json(), { status: "ready" });
});

test("a node that cannot read the configuration is not ready", async (t) => {
  const log = new FakeLogService();
  const vmList = new FakeVmList();
  const store = new FakeWeightStore();
  const any = "127.0.0.1:0";
  const settings = settingsSchema.parse({
    node: { id: "node-1", region: "region-1", failure_domain: "domain-1" },
    listen: { http: any, grpc: any },
    platform: {
      log: await log.listen({}),
      vm_list: await vmList.listen({}),
      weight_store: await store.listen({}),
    },
    addresses: { lifetime_seconds: 0.05 },
  });
  log.setFaults({ outage: "refuse" });
  vmList.setVm({
    id: "service-1",
    address: "127.0.0.1:1",
    region: regionId("region-1"),
    failureDomain: failureDomainId("domain-1"),
    role: { kind: "engine", model: modelId("base"), checksFencing: true },
    state: "leaving",
  });
  const daemon = new Daemon(
    settings,
    new LoggerFactory("human", LOG_LEVEL_SILENT),
  );
  const { http } = await daemon.start();
  t.teardown(async () => {
    await daemon.stop();
    await Promise.all([log.close(), vmList.close(), store.close()]);
  });
  t.is(daemon.directory.vms.length, 1);
  t.is((await fetch(`http://${http}/readyz`)).status, 503);
  t.is((await fetch(`http://${http}/healthz`)).status, 200);
});
