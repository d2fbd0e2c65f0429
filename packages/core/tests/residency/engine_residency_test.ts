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

test("an adapter with a pin is never evicted", (t) => {
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

test("a failed eviction does not lose the residence", (t) => {
  const residency = withResident();
  residency.startEviction(NOW, KEY);
  residency.evictionEnded(NOW, { key: KEY, evicted: false });
  t.true(residency.isResident(KEY));
  t.is(residency.freeSlots, 1);
});

test("versions of an adapter live side by side", (t) => {
  const residency = withResident();
  const next = reference("notes", "v2");
  residency.startLoad(NOW, next);
  residency.loadEnded(NOW, { key: adapterKey(next), loaded: true });
  t.true(residency.isResident(KEY));
  t.true(residency.isResident(adapterKey(next)));
});

test("what a takeover finds is not evicted until it is shown idle", (t) => {
  const residency = new EngineResidency(2);
  residency.takeIn(NOW, { resident: [NOTES], loading: [] });
  t.throws(() => {
    residency.startEviction(NOW, KEY);
  }, { instanceOf: InvariantViolation });
  const state = { resident: [KEY], loading: [], inUse: new Set([KEY]) };
  residency.compare(NOW, state);
  t.true(residency.hasUnproven());
  residency.compare(NOW, { ...state, inUse: new Set() });
  t.false(residency.hasUnproven());
  t.notThrows(() => {
    residency.startEviction(NOW, KEY);
  });
});

test("a load found in progress ends as the engine's state shows", (t) => {
  const residency = new EngineResidency(2);
  residency.takeIn(NOW, { resident: [], loading: [NOTES] });
  const inUse = new Set<typeof KEY>();
  const loading = { resident: [], loading: [KEY], inUse };
  t.deepEqual(residency.compare(NOW, loading).loaded, []);
  const ended = { resident: [KEY], loading: [], inUse };
  t.deepEqual(residency.compare(NOW, ended).loaded, [KEY]);
  t.true(residency.isResident(KEY));
});
