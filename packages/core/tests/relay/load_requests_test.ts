import {
  adapterId,
  type AdapterName,
  EngineSlots,
  instant,
  type LoadUrgency,
  modelId,
} from "@foxtailwind/core";
import test from "ava";

function name(adapter: string): AdapterName {
  return { model: modelId("m"), adapter: adapterId(adapter) };
}

function urgency(neededBy: number, priority = 0): LoadUrgency {
  return { neededBy: instant(neededBy), priority };
}

/** Creates an engine with requests, in the order of their arrival. */
function createEngine(
  requests: readonly (readonly [string, LoadUrgency?])[],
): EngineSlots {
  const engine = new EngineSlots({
    slots: 8,
    concurrentLoads: 4,
    cachedAdapters: 10,
  });
  for (const [index, [adapter, needed]] of requests.entries()) {
    engine.requestLoad(instant(index), name(adapter), 0, needed);
  }
  return engine;
}

/** Accepts all orders that follow at once. */
function loadOrder(engine: EngineSlots): readonly string[] {
  const loaded: string[] = [];
  for (;;) {
    const order = engine.nextOrder(instant(100));
    if (order === undefined) return loaded;
    engine.applyAnswer(instant(100), order, "accepted");
    engine.markLoaded(instant(100), order.name);
    loaded.push(order.name.adapter);
  }
}

test("loads are ordered by the most urgent waiter", (t) => {
  const engine = createEngine([
    ["patient", urgency(5_000)],
    ["shared", urgency(6_000)],
    ["urgent", urgency(1_000)],
    ["shared", urgency(2_000)],
  ]);
  t.deepEqual(loadOrder(engine), ["urgent", "shared", "patient"]);
});

test("loads for a class that may wait come later, but not last for ever", (t) => {
  const engine = createEngine([
    ["batch", urgency(2_000, 2)],
    ["live", urgency(2_500)],
    ["later", urgency(9_000)],
  ]);
  t.deepEqual(loadOrder(engine), ["live", "batch", "later"]);
});

test("loads without urgency keep the order of arrival", (t) => {
  t.deepEqual(loadOrder(createEngine([["b"], ["a"], ["c"]])), ["b", "a", "c"]);
});

test("an adapter isn't loaded for requests that will be gone when it is there", (t) => {
  const engine = createEngine([
    ["late", urgency(300)],
    ["shared", urgency(300)],
    ["shared", urgency(900)],
    ["early", urgency(600)],
  ]);
  const late = engine.cancelLateLoadRequests(instant(100));
  t.deepEqual(late.map((one) => one.adapter), [adapterId("late")]);
  t.deepEqual(loadOrder(engine), ["shared", "early"]);
});

test("an adapter that the engine caches is loaded where one from the store would come too late", (t) => {
  const engine = createEngine([["cached"]]);
  loadOrder(engine);
  const order = { kind: "unload", name: name("cached") } as const;
  engine.applyAnswer(instant(200), order, "holds");
  engine.requestLoad(instant(200), name("cached"), 0, urgency(300));
  engine.requestLoad(instant(200), name("other"), 0, urgency(300));
  const late = engine.cancelLateLoadRequests(instant(200));
  t.deepEqual(late.map((one) => one.adapter), [adapterId("other")]);
});
