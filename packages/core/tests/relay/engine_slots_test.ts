import {
  adapterId,
  type AdapterName,
  EngineMemory,
  EngineSlots,
  instant,
  milliseconds,
  modelId,
  type OrderAnswer,
  type SlotOrder,
} from "@foxtailwind/core";
import test from "ava";
import fc from "fast-check";

function name(adapter: string): AdapterName {
  return { model: modelId("m"), adapter: adapterId(adapter) };
}

function slots(count = 2): EngineSlots {
  return new EngineSlots({
    slots: count,
    concurrentLoads: 4,
    cachedAdapters: 10,
  });
}

function load(
  engine: EngineSlots,
  adapter: string,
  at: number,
  version = 0,
): void {
  engine.requestLoad(instant(at), name(adapter), version);
  const order = engine.nextOrder(instant(at));
  if (order?.kind !== "load") {
    throw new Error(`no load: ${JSON.stringify(order)}`);
  }
  engine.applyAnswer(instant(at), order, "accepted");
  engine.markLoaded(instant(at), name(adapter));
}

test("the least recently used idle adapter is evicted, never one in use", (t) => {
  const engine = slots();
  load(engine, "a", 0);
  load(engine, "b", 10);
  engine.acquire(instant(20), name("a"), 0);
  engine.requestLoad(instant(30), name("c"), 0);
  const order = engine.nextOrder(instant(30));
  t.deepEqual([order?.kind, order?.name.adapter], ["unload", adapterId("b")]);
  engine.acquire(instant(40), name("b"), 0);
  t.is(engine.nextOrder(instant(50)), undefined, "Both are in use.");
});

/** Uses an adapter several times, one after the other. */
function use(engine: EngineSlots, adapter: string, times: readonly number[]) {
  for (const at of times) {
    engine.acquire(instant(at), name(adapter), 0);
    engine.release(instant(at + 1), name(adapter));
  }
}

test("an adapter that is asked for often stays though another was used later", (t) => {
  const engine = slots();
  load(engine, "often", 0);
  load(engine, "once", 10);
  use(engine, "often", [100, 200, 300, 400, 500, 600]);
  use(engine, "once", [700]);
  engine.requestLoad(instant(800), name("c"), 0);
  t.is(engine.nextOrder(instant(800))?.name.adapter, adapterId("once"));
});

test("an adapter that demand has left yields to one that is asked for now", (t) => {
  const engine = slots();
  load(engine, "before", 0);
  load(engine, "now", 10);
  use(engine, "before", [100, 110, 120, 130, 140, 150]);
  use(engine, "now", [8_000, 9_000, 10_000, 11_000, 12_000, 12_100]);
  engine.requestLoad(instant(12_200), name("c"), 0);
  t.is(engine.nextOrder(instant(12_200))?.name.adapter, adapterId("before"));
});

test("an adapter whose unload is refused keeps its slot and another is evicted", (t) => {
  const engine = slots();
  load(engine, "a", 0);
  load(engine, "b", 10);
  engine.requestLoad(instant(20), name("c"), 0);
  const first = engine.nextOrder(instant(20));
  if (first === undefined) throw new Error("no order");
  engine.applyAnswer(instant(20), first, "conflict");
  t.is(engine.slots.length, 2);
  t.is(engine.nextOrder(instant(21))?.name.adapter, adapterId("b"));
});

test("an unload that waits for running requests is not repeated at once, and another adapter is evicted", (t) => {
  const engine = slots();
  load(engine, "a", 0);
  load(engine, "b", 10);
  engine.requestLoad(instant(20), name("c"), 0);
  const first = engine.nextOrder(instant(20));
  if (first === undefined) throw new Error("no order");
  engine.applyAnswer(instant(20), first, "accepted");
  t.is(engine.nextOrder(instant(21))?.name.adapter, adapterId("b"));
  t.deepEqual(engine.nextOrder(instant(400))?.name.adapter, adapterId("a"));
});

test("a newer required version replaces the resident one once it is idle", (t) => {
  const engine = slots();
  load(engine, "a", 0);
  t.is(engine.acquire(instant(1), name("a"), 0), 0);
  t.is(engine.acquire(instant(2), name("a"), 3), undefined);
  engine.requestLoad(instant(2), name("a"), 3);
  t.is(engine.nextOrder(instant(2)), undefined, "A request still uses it.");
  engine.release(instant(5), name("a"));
  const order = engine.nextOrder(instant(5));
  t.deepEqual(order?.kind === "load" ? order.version : undefined, 3);
  if (order === undefined) return;
  engine.applyAnswer(instant(5), order, "accepted");
  engine.markLoaded(instant(9), name("a"));
  t.is(engine.acquire(instant(10), name("a"), 3), 3);
});

test("a recently held adapter has a shorter load time than others", (t) => {
  const engine = slots(1);
  t.is(engine.loadTime(name("a")), milliseconds(250));
  load(engine, "a", 0);
  t.is(engine.loadTime(name("a")), milliseconds(30));
});

/** An engine with four slots whose memory holds two large or five small ones. */
function withMemory(): EngineSlots {
  const memory = new EngineMemory(() => MEMORY);
  memory.recordModels([modelId("m")]);
  return new EngineSlots({
    slots: 4,
    memory,
    concurrentLoads: 4,
    cachedAdapters: 10,
  });
}

const MEMORY = {
  megabytes: 16_700,
  models: [
    { model: modelId("m"), megabytes: 16_500, adapterMegabytes: 66 },
    { model: modelId("small"), megabytes: 100, adapterMegabytes: 33 },
    { model: modelId("huge"), megabytes: 100, adapterMegabytes: 201 },
  ],
};

// Guards against an engine that crashes again and again because its slots are
// free and its memory is not.
test("an adapter that memory has no room for is loaded only once another is unloaded", (t) => {
  const engine = withMemory();
  for (const [at, adapter] of ["a", "b", "c"].entries()) {
    load(engine, adapter, at * 10);
  }
  t.is(engine.availableSlots(instant(30)), 3, "Each is idle.");
  engine.requestLoad(instant(30), name("d"), 0);
  t.is(engine.availableSlots(instant(30)), 2);
  const order = engine.nextOrder(instant(30));
  t.deepEqual([order?.kind, order?.name.adapter], ["unload", adapterId("a")]);
  for (const adapter of ["a", "b", "c"]) {
    engine.acquire(instant(40), name(adapter), 0);
  }
  t.is(engine.availableSlots(instant(40)), 0);
  t.false(engine.canLoad(instant(40), name("e")));
  t.is(engine.nextOrder(instant(40)), undefined, "All are in use.");
});

test("room that late loads may take is kept free in memory, too", (t) => {
  const engine = withMemory();
  load(engine, "a", 0);
  engine.reserve(2);
  engine.acquire(instant(5), name("a"), 0);
  engine.requestLoad(instant(10), name("b"), 0);
  t.is(engine.nextOrder(instant(10)), undefined);
  engine.reserve(1);
  t.is(engine.nextOrder(instant(20))?.kind, "load");
});

test("a newer version is loaded beside the older one only if memory holds both", (t) => {
  const engine = withMemory();
  for (const [at, adapter] of ["a", "b", "c"].entries()) {
    load(engine, adapter, at * 10);
  }
  for (const adapter of ["b", "c"]) {
    engine.acquire(instant(40), name(adapter), 0);
  }
  engine.requestLoad(instant(50), name("a"), 2);
  const first = engine.nextOrder(instant(50));
  t.deepEqual([first?.kind, first?.name.adapter], ["unload", adapterId("a")]);
  if (first === undefined) return;
  engine.applyAnswer(instant(50), first, "holds");
  const second = engine.nextOrder(instant(60));
  t.deepEqual([second?.kind, second?.name.adapter], ["load", adapterId("a")]);
});

test("an adapter that fits on no such engine is neither ordered nor makes room", (t) => {
  const engine = withMemory();
  load(engine, "a", 0);
  const huge = { model: modelId("huge"), adapter: adapterId("h") };
  t.false(engine.canHold(huge));
  t.false(engine.canLoad(instant(10), huge));
  engine.requestLoad(instant(10), huge, 0);
  t.is(engine.nextOrder(instant(10)), undefined);
});

test("an engine without a stated memory is limited by its slots", (t) => {
  const memory = new EngineMemory(() => ({ ...MEMORY, megabytes: 0 }));
  memory.recordModels([modelId("m"), modelId("small")]);
  const limits = { slots: 4, concurrentLoads: 4, cachedAdapters: 10 };
  const engine = new EngineSlots({ ...limits, memory });
  t.is(engine.availableSlots(instant(0)), 4);
  t.true(engine.canHold(name("a")));
});

test("orders never ask for more megabytes than the memory has", (t) => {
  const adapters = ["a", "b", "c", "d"].flatMap((adapter) =>
    ["m", "small", "huge", "unknown"].map((model) => ({
      model: modelId(model),
      adapter: adapterId(adapter),
    }))
  );
  const step = fc.record({
    adapter: fc.constantFrom(...adapters),
    version: fc.constantFrom(0, 1, 2),
    act: fc.constantFrom("want", "use", "release", "order", "loaded", "report"),
    answer: fc.constantFrom<OrderAnswer>(
      "holds",
      "accepted",
      "conflict",
      "unknown",
    ),
  });
  const sizeOf = ({ model }: AdapterName) =>
    MEMORY.models.find((one) => one.model === model)?.adapterMegabytes ?? 201;
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const engine = withMemory();
      let now = 0;
      for (const { adapter, version, act, answer } of steps) {
        now += 37;
        const at = instant(now);
        if (act === "want") engine.requestLoad(at, adapter, version);
        if (act === "use") engine.acquire(at, adapter, version);
        if (act === "release") engine.release(at, adapter);
        if (act === "loaded") engine.markLoaded(at, adapter);
        if (act === "report") {
          const held = engine.slots.filter(({ state }) => state === "resident");
          const rest = engine.slots.filter(({ state }) => state !== "resident");
          engine.applyReport(at, held, rest);
        }
        if (act !== "order") continue;
        const order = engine.nextOrder(at);
        if (order === undefined) continue;
        const sizes = engine.slots.map(sizeOf);
        const held = sizes.reduce((sum, size) => sum + size, 0);
        const added = order.kind === "load" ? sizeOf(order.name) : 0;
        t.true(held + added <= 200);
        engine.applyAnswer(at, order, answer);
      }
    }),
    { seed: 5, numRuns: 300 },
  );
});

test("orders never ask for more adapters than there are slots", (t) => {
  const step = fc.record({
    adapter: fc.constantFrom("a", "b", "c", "d", "e", "f"),
    act: fc.constantFrom("want", "use", "release", "order", "loaded"),
    answer: fc.constantFrom<OrderAnswer>(
      "holds",
      "accepted",
      "conflict",
      "unknown",
    ),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const engine = slots(3);
      let now = 0;
      for (const { adapter, act, answer } of steps) {
        now += 37;
        const at = instant(now);
        if (act === "want") engine.requestLoad(at, name(adapter), 0);
        if (act === "use") engine.acquire(at, name(adapter), 0);
        if (act === "release") engine.release(at, name(adapter));
        if (act === "loaded") engine.markLoaded(at, name(adapter));
        if (act === "order") orderOnce(engine, now, answer);
        t.true(engine.slots.length <= 3);
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});

function orderOnce(
  engine: EngineSlots,
  now: number,
  answer: OrderAnswer,
): void {
  const order: SlotOrder | undefined = engine.nextOrder(instant(now));
  if (order !== undefined) engine.applyAnswer(instant(now), order, answer);
}
