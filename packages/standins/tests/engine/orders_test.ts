import { engineId, fencingNumber, modelId } from "@foxtailwind/core";
import { FakeWeightStore } from "@foxtailwind/standins";
import test from "ava";
import {
  createAdapterReference,
  createGenerateCall,
} from "../../../edges/tests/helpers/calls.ts";
import { CollectingSink } from "../../../edges/tests/helpers/collecting_sink.ts";
import { orderOf, startEngine } from "../helpers/start_stand_ins.ts";

const ADAPTER_A = createAdapterReference("a");
const ADAPTER_B = createAdapterReference("b");

test("a load makes an adapter resident", async (t) => {
  const { client } = await startEngine(t);
  t.true((await client.sendOrder(orderOf("load_adapter", ADAPTER_B))).isOk());
  const state = (await client.readState())._unsafeUnwrap();
  t.deepEqual(state.resident, [ADAPTER_A, ADAPTER_B]);
  t.is(state.engine, engineId("engine-1"));
});

test("an outdated fencing number is refused if the engine checks it", async (t) => {
  const checking = await startEngine(t);
  const newer = orderOf("load_adapter", ADAPTER_B, { fencing: 7 });
  t.true((await checking.client.sendOrder(newer)).isOk());
  const old = orderOf("evict_adapter", ADAPTER_B, { fencing: 6 });
  const refused = (await checking.client.sendOrder(old))._unsafeUnwrapErr();
  t.like(refused, {
    reason: "fenced",
    step: "evict_adapter",
    outcome: "not_run",
  });
  const state = (await checking.client.readState())._unsafeUnwrap();
  t.is(state.highestFencing, fencingNumber(7));
  const ignoring = await startEngine(t, { checksFencing: false });
  t.true((await ignoring.client.sendOrder(newer)).isOk());
  t.true((await ignoring.client.sendOrder(old)).isOk());
});

test("an expired order has no effect", async (t) => {
  const { engine, client } = await startEngine(t);
  const expired = orderOf("evict_adapter", ADAPTER_A, { expiresIn: 0 });
  const evicted = (await client.sendOrder(expired))._unsafeUnwrapErr();
  t.like(evicted, { reason: "expired", outcome: "not_run" });
  engine.setFaults({ extraLoadMilliseconds: 100 });
  const slow = orderOf("load_adapter", ADAPTER_B, { expiresIn: 50 });
  t.is((await client.sendOrder(slow))._unsafeUnwrapErr().reason, "expired");
  const state = (await client.readState())._unsafeUnwrap();
  t.deepEqual(state.resident, [ADAPTER_A]);
  t.is(engine.readCounters().ordersExpired, 2);
});

test("an eviction of an adapter in use kills its generations and is counted", async (t) => {
  const { engine, client } = await startEngine(t);
  const sink = new CollectingSink();
  client.generate(createGenerateCall("r", { maximumTokens: 100_000 }), sink);
  await sink.waitForFrames(1);
  t.true((await client.sendOrder(orderOf("evict_adapter", ADAPTER_A))).isOk());
  const failure = (await sink.ended)._unsafeUnwrapErr();
  t.like(failure, { reason: "unavailable", outcome: "ran" });
  t.is(engine.readCounters().evictedInUse, 1);
});

test("an order whose response is lost takes effect", async (t) => {
  const { engine, client } = await startEngine(t);
  engine.setFaults({ loseNextOrderAnswers: 1 });
  const lost = await client.sendOrder(orderOf("evict_adapter", ADAPTER_A));
  t.is(lost._unsafeUnwrapErr().outcome, "unknown");
  t.deepEqual((await client.readState())._unsafeUnwrap().resident, []);
});

test("a load needs a free slot, and a failed load frees its slot", async (t) => {
  const { engine, client } = await startEngine(t, { adapterSlots: 2 });
  engine.setFaults({ failNextLoads: 1 });
  const order = orderOf("load_adapter", ADAPTER_B);
  t.is(
    (await client.sendOrder(order))._unsafeUnwrapErr().reason,
    "unavailable",
  );
  t.true((await client.sendOrder(order)).isOk());
  const full = await client.sendOrder(
    orderOf("load_adapter", createAdapterReference("c")),
  );
  t.like(full._unsafeUnwrapErr(), { reason: "overloaded", outcome: "not_run" });
});

test("a load fetches from the weight store and forwards its refusal", async (t) => {
  const store = new FakeWeightStore({ adapterBytes: 1 });
  const weightStoreAddress = await store.listen();
  t.teardown(() => store.close());
  const { client } = await startEngine(t, { weightStoreAddress });
  t.true((await client.sendOrder(orderOf("load_adapter", ADAPTER_B))).isOk());
  t.is(store.readCounters().loadsFinished, 1);
  store.setFaults({ missingAdapters: ["c"] });
  const order = orderOf("load_adapter", createAdapterReference("c"));
  t.is((await client.sendOrder(order))._unsafeUnwrapErr().reason, "not_found");
});

test("orders change the model and the role", async (t) => {
  const { client } = await startEngine(t);
  const base = { fencing: fencingNumber(1), expiresInMilliseconds: 60_000 };
  const other = modelId("other");
  await client.sendOrder({ ...base, kind: "change_role", role: "decode" });
  await client.sendOrder({ ...base, kind: "load_model", model: other });
  const state = (await client.readState())._unsafeUnwrap();
  t.like(state, { model: other, role: "decode", resident: [] });
});
