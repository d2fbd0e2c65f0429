import {
  adapterId,
  adapterKey,
  adapterVersion,
  EngineResidency,
  instant,
  InvariantViolation,
} from "@foxtailwind/core";
import test from "ava";

function reference(name: string, version = "v1") {
  return { adapter: adapterId(name), version: adapterVersion(version) };
}

const NOW = instant(0);
const NOTES = reference("notes");
const KEY = adapterKey(NOTES);

function withResident(): EngineResidency {
  const residency = new EngineResidency(2);
  residency.startLoad(NOW, NOTES);
  residency.loadEnded(NOW, { key: KEY, loaded: true });
  return residency;
}

test("a pinned adapter is never evicted", (t) => {
  const residency = withResident();
  residency.pin(NOW, KEY);
  const error = t.throws(() => {
    residency.startEviction(NOW, KEY);
  }, { instanceOf: InvariantViolation });
  t.is(error.invariant, "serving_adapter_never_evicted");
  residency.unpin(NOW, KEY);
  t.notThrows(() => {
    residency.startEviction(NOW, KEY);
  });
});

test("an adapter stays resident after a failed eviction", (t) => {
  const residency = withResident();
  residency.startEviction(NOW, KEY);
  residency.evictionEnded(NOW, { key: KEY, evicted: false });
  t.true(residency.isResident(KEY));
  t.is(residency.freeSlots, 1);
});

test("several versions of an adapter can be resident", (t) => {
  const residency = withResident();
  const next = reference("notes", "v2");
  residency.startLoad(NOW, next);
  residency.loadEnded(NOW, { key: adapterKey(next), loaded: true });
  t.true(residency.isResident(KEY));
  t.true(residency.isResident(adapterKey(next)));
});

test("an adapter found at a takeover is not evicted until proven idle", (t) => {
  const residency = new EngineResidency(2);
  residency.adopt(NOW, { resident: [NOTES], loading: [] });
  t.throws(() => {
    residency.startEviction(NOW, KEY);
  }, { instanceOf: InvariantViolation });
  const state = { resident: [KEY], loading: [], inUse: new Set([KEY]) };
  residency.reconcile(NOW, state);
  t.true(residency.hasUnproven());
  residency.reconcile(NOW, { ...state, inUse: new Set() });
  t.false(residency.hasUnproven());
  t.notThrows(() => {
    residency.startEviction(NOW, KEY);
  });
});

test("a load found in progress ends when reported resident", (t) => {
  const residency = new EngineResidency(2);
  residency.adopt(NOW, { resident: [], loading: [NOTES] });
  const inUse = new Set<typeof KEY>();
  const loading = { resident: [], loading: [KEY], inUse };
  t.deepEqual(residency.reconcile(NOW, loading).loaded, []);
  const ended = { resident: [KEY], loading: [], inUse };
  t.deepEqual(residency.reconcile(NOW, ended).loaded, [KEY]);
  t.true(residency.isResident(KEY));
});
