import { createDispatcher, HttpWeightStoreClient } from "@foxtailwind/edges";
import {
  FakeWeightStore,
  type FakeWeightStoreSettings,
} from "@foxtailwind/standins";
import test, { type ExecutionContext } from "ava";
import { createAdapterReference } from "../../../edges/tests/helpers/calls.ts";

async function startStore(
  t: ExecutionContext,
  settings: Partial<FakeWeightStoreSettings> = {},
): Promise<FakeWeightStore> {
  const store = new FakeWeightStore({ adapterBytes: 1, ...settings });
  await store.listen();
  t.teardown(() => store.close());
  return store;
}

function loadWeights(
  store: FakeWeightStore,
  adapter: string,
): Promise<Response> {
  const path = `/v1/adapters/${adapter}/versions/1/weights`;
  return fetch(`${store.address}${path}`);
}

test("the client reads limits and sizes", async (t) => {
  const store = await startStore(t);
  const dispatcher = createDispatcher();
  t.teardown(() => dispatcher.destroy());
  const client = new HttpWeightStoreClient({
    baseAddress: store.address,
    dispatcher,
    peer: "store",
  });
  const limits = (await client.readLimits())._unsafeUnwrap();
  t.deepEqual(limits, { loadsPerSecond: 5, concurrentLoads: 2 });
  const adapter = createAdapterReference("a/b");
  const weights = (await client.readAdapterWeights(adapter))._unsafeUnwrap();
  t.deepEqual(weights, { adapter, bytes: 1 });
  store.setFaults({ missingAdapters: ["a/b"] });
  const missing = (await client.readAdapterWeights(adapter))._unsafeUnwrapErr();
  t.like(missing, { reason: "not_found", step: "read_weight_store" });
});

test("loads beyond the rate are refused", async (t) => {
  const store = await startStore(t, { loadsPerSecond: 0.001 });
  t.is((await loadWeights(store, "a")).status, 200);
  t.is((await loadWeights(store, "b")).status, 429);
  t.like(store.readCounters(), { loadsFinished: 1, overloaded: 1 });
});

test("loads fail or are dropped according to the faults", async (t) => {
  const store = await startStore(t);
  store.setFaults({ failNextLoads: 1 });
  t.is((await loadWeights(store, "a")).status, 503);
  store.setFaults({ dropNextLoads: 1 });
  await t.throwsAsync(loadWeights(store, "a"));
  t.is((await loadWeights(store, "a")).status, 200);
  t.is(store.readCounters().loadsFailed, 2);
});
