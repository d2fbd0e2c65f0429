import {
  adapterId,
  type AdapterName,
  EngineSlots,
  instant,
  type LoadSource,
  milliseconds,
  modelId,
  randomSource,
} from "@foxtailwind/core";
import test from "ava";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

const CHECK_INTERVAL = milliseconds(20);

function name(adapter: string): AdapterName {
  return { model: modelId("m"), adapter: adapterId(adapter) };
}

function slots(cachedAdapters = 100): EngineSlots {
  return new EngineSlots({ slots: 1, concurrentLoads: 4, cachedAdapters });
}

/**
 * Loads an adapter on an engine with one slot.
 * @returns The times of the checks whether it is loaded, after the order, and
 * where it is taken to come from.
 */
function load(
  engine: EngineSlots,
  adapter: string,
  at: number,
  took: number,
  version = 0,
): { readonly checks: readonly number[]; readonly source?: LoadSource } {
  engine.requestLoad(instant(at), name(adapter), version);
  for (;;) {
    const order = engine.nextOrder(instant(at));
    if (order === undefined) break;
    const answer = order.kind === "load" ? "accepted" : "holds";
    engine.applyAnswer(instant(at), order, answer);
  }
  const checks: number[] = [];
  for (;;) {
    const check = engine.nextLoadCheck();
    if (check === undefined) throw new Error("no check");
    checks.push(check.at - at);
    if (check.at - at >= took) {
      const source = engine.markLoaded(check.at, name(adapter));
      return { checks, ...(source === undefined ? {} : { source }) };
    }
    engine.postponeLoadCheck(check.at, name(adapter), CHECK_INTERVAL);
  }
}

test("loads of the expected length are checked once", (t) => {
  const engine = slots();
  const fromStore = { checks: [250], source: "store" } as const;
  t.deepEqual(load(engine, "a", 0, 250), fromStore);
  t.deepEqual(load(engine, "b", 1_000, 250), fromStore);
  t.deepEqual(load(engine, "a", 2_000, 25), { checks: [30], source: "cache" });
});

test("the checks of slower loads move to the time that they take", (t) => {
  const engine = slots();
  t.deepEqual(load(engine, "a0", 0, 288).checks, [250, 270, 290]);
  for (let index = 1; index < 40; index += 1) {
    load(engine, `a${index}`, index * 1_000, 288);
  }
  const { checks } = load(engine, "b", 50_000, 288);
  t.true(checks.length <= 2);
  t.true((checks[0] ?? 0) >= 280);
  t.true(engine.loadTime(name("c")) <= 310);
});

test("an adapter that the engine no longer caches is not checked every few milliseconds", (t) => {
  const engine = slots();
  for (let index = 0; index < 60; index += 1) {
    load(engine, `a${index}`, index * 1_000, 288);
  }
  const { checks, source } = load(engine, "a0", 100_000, 288);
  t.is(source, "store");
  t.deepEqual(checks.slice(0, 2), [30, 50]);
  t.true((checks[2] ?? 0) >= 250);
  t.true(checks.length <= 4);
});

/** Loads adapters from an engine's memory or else from the store. */
class CachingEngine {
  readonly slots = slots();
  #cached: readonly string[] = [];
  #now = 0;

  /**
   * @param adapter The adapter.
   * @param cacheSize How many adapters the engine keeps now.
   */
  load(adapter: string, cacheSize: number): void {
    const isCached = this.#cached.slice(0, cacheSize).includes(adapter);
    this.#now += 1_000;
    load(this.slots, adapter, this.#now, isCached ? 29 : 288);
    const others = this.#cached.filter((one) => one !== adapter);
    this.#cached = [adapter, ...others];
  }
}

/** Creates a draw of adapters, the first ones more often. */
function createDraw(adapters: number): () => string {
  const source = randomSource(1);
  return () => `a${Math.floor(adapters * uniformFloat64(source) ** 2)}`;
}

test("the size of an engine's cache is learned from loads that it doesn't serve", (t) => {
  const engine = new CachingEngine();
  const draw = createDraw(150);
  for (let index = 0; index < 600; index += 1) engine.load(draw(), 51);
  const { cacheSize } = engine.slots.loadTimes;
  t.true(cacheSize >= 40 && cacheSize <= 62, `${cacheSize}`);
});

test("an engine that serves nothing from its cache for a while is probed again", (t) => {
  const engine = new CachingEngine();
  const draw = createDraw(60);
  for (let index = 0; index < 100; index += 1) engine.load(draw(), 0);
  t.true(engine.slots.loadTimes.cacheSize <= 5);
  for (let index = 0; index < 600; index += 1) engine.load(draw(), 51);
  t.true(engine.slots.loadTimes.cacheSize >= 40);
});

test("a newer version of a cached adapter is loaded from the store, which says nothing of the cache", (t) => {
  const engine = slots();
  load(engine, "a", 0, 288);
  const before = engine.loadTimes.cacheSize;
  t.is(engine.loadTimes.sourceOf(name("a"), 0), "cache");
  t.is(engine.loadTimes.sourceOf(name("a"), 1), "store");
  const { checks } = load(engine, "a", 1_000, 288, 1);
  t.true((checks[0] ?? 0) >= 250);
  t.is(engine.loadTimes.cacheSize, before);
  t.is(engine.loadTimes.sourceOf(name("a"), 1), "cache");
});
