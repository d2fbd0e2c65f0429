import { ScriptedOrderDelivery, StandInEngineState } from "@foxtailwind/bench";
import {
  adapterId,
  fencingNumber,
  modelId,
  nodeId,
  serverStart,
} from "@foxtailwind/core";
import test from "ava";

function loadOrder(adapter: string, expectedOrders: number, fence: number) {
  return {
    kind: "load",
    model: modelId("m"),
    adapter: adapterId(adapter),
    owner: nodeId("node-1"),
    fence: fencingNumber(fence),
    expectedOrders,
  } as const;
}

test("a restarted stand-in engine resets its order count, fence and adapters", (t) => {
  const adapters = new StandInEngineState(2);
  adapters.start = serverStart(1_000);
  adapters.models = [modelId("m")];
  t.is(adapters.execute(loadOrder("a", 0, 7)).kind, "accepted");
  adapters.restart(serverStart(2_000));
  t.deepEqual(adapters.report, {
    start: serverStart(2_000),
    models: [],
    adapters: [],
    incoming: [],
    isBusy: false,
    orderCount: 0,
  });
  t.is(adapters.execute(loadOrder("b", 0, 3)).kind, "accepted");
});

test("a late order is executed by the start that is current on its arrival", (t) => {
  const adapters = new StandInEngineState(2);
  const orders = new ScriptedOrderDelivery(adapters);
  orders.nextOutcomes = ["late", "lost"];
  t.is(orders.send(loadOrder("a", 0, 7)).kind, "unknown");
  t.is(orders.send(loadOrder("b", 0, 7)).kind, "unknown");
  adapters.restart(serverStart(2_000));
  t.is(orders.lateCount, 1);
  t.deepEqual(orders.executeLate(), [{ kind: "accepted" }]);
  t.deepEqual([...adapters.loadedAdapters], ["a"]);
});
