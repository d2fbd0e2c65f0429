import { failureDomainId, regionId } from "@foxtailwind/core";
import {
  createDispatcher,
  HttpVmListClient,
  type Vm,
} from "@foxtailwind/edges";
import { FakeVmList } from "@foxtailwind/standins";
import test from "ava";

const VM: Vm = {
  id: "vm-1",
  address: "127.0.0.1:1",
  region: regionId("region-1"),
  failureDomain: failureDomainId("domain-1"),
  role: { kind: "entry" },
  state: "live",
};

test("the client reads the entries that are set", async (t) => {
  const list = new FakeVmList();
  const baseAddress = await list.listen();
  t.teardown(() => list.close());
  const dispatcher = createDispatcher();
  t.teardown(() => dispatcher.destroy());
  const client = new HttpVmListClient({
    baseAddress,
    dispatcher,
    peer: "list",
  });
  list.setVm(VM);
  t.deepEqual((await client.read())._unsafeUnwrap(), [VM]);
  await fetch(`${baseAddress}/standin/vms`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ vms: [{ ...VM, state: "leaving" }] }),
  });
  t.is((await client.read())._unsafeUnwrap()[0]?.state, "leaving");
});

test("a change is visible after the lag, but not while the list is stale", (t) => {
  const list = new FakeVmList({ lagMilliseconds: 1_000 });
  list.setVm(VM);
  const now = performance.now();
  t.deepEqual(list.readVisible(now), []);
  list.setFaults({ stale: true });
  t.deepEqual(list.readVisible(now + 2_000), []);
  list.setFaults({ stale: false });
  t.deepEqual(list.readVisible(now + 2_000), [VM]);
});
