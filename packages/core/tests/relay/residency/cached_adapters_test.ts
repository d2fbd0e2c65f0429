import {
  adapterHash,
  backendServerId,
  CachedAdapters,
  type HeldVersion,
  RecentAdapters,
  serverStart,
} from "@foxtailwind/core";
import test from "ava";

const ENGINE = backendServerId("e1");
const START = serverStart(1_000);
const NEXT_START = serverStart(2_000);

function names(...adapters: string[]): HeldVersion[] {
  return adapters.map((adapter) => ({ model: "m", adapter, version: 2 }));
}

function has(
  cached: CachedAdapters,
  adapter: string,
  { start = START, cacheSize = 4, minimumVersion = 0 } = {},
): boolean {
  const hash = adapterHash({ model: "m", adapter });
  return cached.has(ENGINE, { start, cacheSize }, { hash, minimumVersion });
}

test("an adapter that a digest no longer names still counts as cached", (t) => {
  const cached = new CachedAdapters();
  const observe = (...adapters: string[]) => {
    const held = names(...adapters);
    cached.observe(ENGINE, { start: START, adapters: held, cacheSize: 4 });
  };
  observe("a", "b");
  observe("b", "c");
  t.true(has(cached, "a"));
  t.false(has(cached, "x"));
  observe("d", "e");
  t.false(has(cached, "a"), "Four others were held since.");
  t.false(has(cached, "b", { cacheSize: 2 }), "The cache is smaller.");
});

test("an adapter that another engine caches is known, one of this engine isn't meant", (t) => {
  const cached = new CachedAdapters();
  const state = { start: START, adapters: names("a"), cacheSize: 4 };
  cached.observe(ENGINE, state);
  const hash = adapterHash({ model: "m", adapter: "a" });
  const isKnown = (other: string, minimumVersion = 0) =>
    cached.isCachedElsewhere(backendServerId(other), { hash, minimumVersion });
  t.false(isKnown(ENGINE));
  t.true(isKnown("e2"));
  t.false(isKnown("e2", 3));
});

test("what an engine held before its restart is forgotten", (t) => {
  const cached = new CachedAdapters();
  const held = names("a");
  cached.observe(ENGINE, { start: START, adapters: held, cacheSize: 4 });
  t.false(has(cached, "a", { start: NEXT_START }));
  cached.observe(ENGINE, { start: NEXT_START, adapters: [], cacheSize: 4 });
  t.false(has(cached, "a", { start: NEXT_START }));
  cached.observe(ENGINE, { start: START, adapters: held, cacheSize: 4 });
  t.false(has(cached, "a", { start: NEXT_START }), "A late digest.");
});

test("an older version of an adapter doesn't count as cached", (t) => {
  const cached = new CachedAdapters();
  const observe = (adapters: readonly HeldVersion[]) => {
    cached.observe(ENGINE, { start: START, adapters, cacheSize: 4 });
  };
  observe(names("a"));
  t.true(has(cached, "a", { minimumVersion: 2 }));
  t.false(has(cached, "a", { minimumVersion: 3 }));
  observe([{ model: "m", adapter: "a", version: 3 }]);
  observe([]);
  t.true(has(cached, "a", { minimumVersion: 3 }));
});

test("engines that are gone are forgotten, and their number is bounded", (t) => {
  const cached = new CachedAdapters();
  for (let index = 0; index < 20_000; index += 1) {
    cached.observe(backendServerId(`e${index}`), {
      start: START,
      adapters: [],
      cacheSize: 4,
    });
  }
  t.is(cached.size, 16_384);
  cached.retain(new Set([backendServerId("e19999")]));
  t.is(cached.size, 1);
});

test("recent adapters keep their order and their bound", (t) => {
  const recent = new RecentAdapters(3);
  for (const adapter of [1, 2, 3, 1, 4]) recent.touch(adapter);
  t.deepEqual([4, 1, 3, 2].map((one) => recent.rankOf(one)), [
    0,
    1,
    2,
    undefined,
  ]);
  const later = new RecentAdapters(4);
  later.touch(9);
  later.append(recent);
  t.deepEqual([9, 4, 1, 3].map((one) => later.rankOf(one)), [0, 1, 2, 3]);
});
