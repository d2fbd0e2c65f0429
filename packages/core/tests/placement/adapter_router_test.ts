import {
  adapterId,
  type AdapterKey,
  adapterKey,
  AdapterRouter,
  adapterVersion,
  classId,
  engineId,
  type EngineSummary,
  type EngineView,
  instant,
  LoadPermitIssuer,
  milliseconds,
  PrefixHistory,
  type QueuedRequest,
  requestId,
  ResidenceIndex,
  SummarisedEngineView,
  tenantId,
} from "@foxtailwind/core";
import test from "ava";

const NOW = instant(0);
const LIMITS = { loadsPerSecond: 5, concurrentLoads: 2 };

function reference(name: string) {
  return { adapter: adapterId(name), version: adapterVersion("v1") };
}

function queued(name: string, target = 1_000): QueuedRequest {
  return {
    request: requestId("request"),
    adapter: reference(name),
    class: classId("class"),
    tenant: tenantId("tenant"),
    firstTokenTarget: milliseconds(target),
    waitedBefore: milliseconds(0),
    promptTokens: 10,
    maximumTokens: 10,
  };
}

function summary(
  id: string,
  changes: Partial<EngineSummary> = {},
): EngineSummary {
  return {
    engine: engineId(id),
    weight: 8,
    firstTokenTime: milliseconds(50),
    serviceTime: milliseconds(1_000),
    batchCapacity: 4,
    places: 4,
    running: 0,
    awaitedAdapters: 0,
    canMakeRoom: true,
    ready: [],
    blocked: [],
    runningByTarget: [],
    ...changes,
  };
}

function deployment(summaries: readonly EngineSummary[]) {
  const index = new ResidenceIndex();
  const views = new Map(
    summaries.map((entry) => [
      entry.engine,
      new SummarisedEngineView(entry, index),
    ]),
  );
  const router = new AdapterRouter({
    index,
    prefixes: new PrefixHistory(),
    loads: new LoadPermitIssuer(LIMITS),
  });
  function hold(id: string, name: string): void {
    const adapter = reference(name);
    const key: AdapterKey = adapterKey(adapter);
    const view = views.get(engineId(id));
    const known = summaries.find(({ engine }) => engine === id);
    if (known === undefined) return;
    view?.update(known, [{ key, adapter, standing: "resident" }]);
  }
  return { router, views, hold };
}

function homesOf(
  router: AdapterRouter,
  views: ReadonlyMap<ReturnType<typeof engineId>, EngineView>,
): ReadonlyMap<string, string> {
  const homes = new Map<string, string>();
  for (let index = 0; index < 2_000; index += 1) {
    const key = adapterKey(reference(`adapter-${index}`));
    homes.set(key, router.homes(key, views)[0]?.engine ?? "");
  }
  return homes;
}

test("homes are distributed in proportion to engine weights", (t) => {
  const { router, views } = deployment([
    summary("small", { weight: 10 }),
    summary("large", { weight: 30 }),
  ]);
  const homes = [...homesOf(router, views).values()];
  const large = homes.filter((home) => home === "large").length;
  t.true(Math.abs(large / homes.length - 0.75) < 0.03, `${large}`);
});

test("removing an engine moves only the adapters whose home it was", (t) => {
  const { router, views } = deployment(
    ["a", "b", "c"].map((id) => summary(id)),
  );
  const before = homesOf(router, views);
  const left = new Map(views);
  left.delete(engineId("b"));
  for (const [key, home] of homesOf(router, left)) {
    if (before.get(key) !== "b") t.is(home, before.get(key) ?? "");
  }
});

test("a request goes to the engine that holds its adapter", (t) => {
  const { router, views, hold } = deployment([summary("a"), summary("b")]);
  hold("b", "notes");
  const choice = router.route(NOW, queued("notes"), views);
  t.like(choice, { kind: "engine", engine: "b", reason: "resident" });
});

test("a request avoids a full holder only if another is clearly faster", (t) => {
  const full = {
    running: 4,
    ready: [{ target: milliseconds(1_000), count: 8 }],
  };
  const { router, views, hold } = deployment([
    summary("a", full),
    summary("b"),
  ]);
  hold("a", "notes");
  const patient = router.route(NOW, queued("notes", 60_000), views);
  t.like(patient, { kind: "engine", engine: "a" });
  const urgent = router.route(NOW, queued("notes"), views);
  t.like(urgent, { kind: "engine", engine: "b", reason: "overflow" });
});

test("a request that would be too late is refused with a retry delay", (t) => {
  const jammed = {
    running: 4,
    canMakeRoom: false,
    ready: [{ target: milliseconds(100), count: 80 }],
  };
  const { router, views } = deployment([summary("a", jammed)]);
  const choice = router.route(NOW, queued("notes", 100), views);
  t.is(choice.kind, "refuse");
  if (choice.kind === "refuse") t.true(choice.retryAfter > 1_000);
});

test("requests sent since the last summary count as waiting", (t) => {
  const { views } = deployment([summary("a", { running: 4 })]);
  const view = views.get(engineId("a"));
  const before = view?.batchWait(NOW, milliseconds(1_000)) ?? 0;
  view?.recordSent(adapterKey(reference("notes")));
  t.true((view?.batchWait(NOW, milliseconds(1_000)) ?? 0) > before);
  t.is(view?.standing(adapterKey(reference("notes"))), "awaited");
});
