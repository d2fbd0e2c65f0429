import {
  backendServerId,
  failureDomainId,
  instant,
  logOffset,
  type RegisteredServer,
  type RegistryEntry,
  ServerRegistry,
  type ServerRun,
  serverStart,
  serviceId,
  softwareVersion,
} from "@foxtailwind/core";
import { SeededRandom } from "@foxtailwind/standins";
import test from "ava";

const ID = backendServerId("a");
const STEPS = 60;
/** The time between two steps of a run of the model. */
const STEP_MILLISECONDS = 400;

function runOf(start: number): ServerRun {
  return { id: ID, start: serverStart(start) };
}

function entryOf(start: number, offset: number): RegistryEntry {
  return {
    kind: "present",
    offset: logOffset(offset),
    server: {
      ...runOf(start),
      service: serviceId("service"),
      software: softwareVersion("1"),
      address: "127.0.0.1:1",
      failureDomain: failureDomainId("domain"),
      leaving: false,
      slots: 1,
      models: [],
      orderCount: 0,
    },
  };
}

function gone(offset: number): RegistryEntry {
  return { kind: "gone", offset: logOffset(offset), id: ID };
}

test("a departure that an answer announced applies at once", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), entryOf(1, 1));
  t.true(registry.takesRequests(runOf(1)));
  t.true(registry.recordDeparture(instant(0), runOf(1)));
  t.false(registry.takesRequests(runOf(1)));
  t.true(registry.find(ID)?.leaving);
  t.false(
    registry.recordDeparture(instant(0), runOf(1)),
    "It is known already.",
  );
});

test("a departure that an answer announced survives older and newer entries", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), entryOf(1, 5));
  registry.recordDeparture(instant(0), runOf(1));
  registry.apply(instant(1), entryOf(1, 4));
  registry.apply(instant(2), entryOf(1, 6));
  t.false(registry.takesRequests(runOf(1)));
  registry.apply(instant(3), gone(7));
  registry.apply(instant(4), entryOf(1, 8));
  t.false(registry.takesRequests(runOf(1)));
  t.true(registry.find(ID)?.leaving);
});

test("a late answer of a former start doesn't affect the next one", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), entryOf(1, 1));
  registry.apply(instant(1), entryOf(2, 2));
  t.true(registry.recordDeparture(instant(0), runOf(1)));
  t.true(registry.takesRequests(runOf(2)));
  t.false(registry.takesRequests(runOf(1)));
});

test("a server whose entry vanishes after its answer announced its departure is gone at once", (t) => {
  const registry = new ServerRegistry();
  registry.apply(instant(0), entryOf(1, 1));
  registry.recordDeparture(instant(0), runOf(1));
  registry.recordStoreFailure(instant(10));
  registry.apply(instant(20), gone(2));
  t.is(registry.find(ID), undefined);
});

// Guards against servers that get requests after announcing their departure.
test("no start takes requests after it announced its departure, whatever the log says", (t) => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const random = new SeededRandom(seed);
    const registry = new ServerRegistry();
    const departed = new Set<number>();
    const entries: RegisteredServer[] = [];
    let start = 1;
    let offset = 1;
    registry.apply(instant(0), entryOf(start, offset));
    for (let step = 1; step <= STEPS; step += 1) {
      const now = instant(step * STEP_MILLISECONDS);
      const draw = random.next();
      if (draw < 0.2) {
        registry.recordDeparture(instant(0), runOf(start));
        departed.add(start);
      } else if (draw < 0.3) {
        const former = Math.max(1, start - 1);
        registry.recordDeparture(instant(0), runOf(former));
        departed.add(former);
      } else if (draw < 0.45) {
        start += 1;
        registry.apply(now, entryOf(start, offset += 1));
      } else if (draw < 0.6) {
        registry.apply(now, gone(offset += 1));
      } else if (draw < 0.75) {
        registry.apply(now, entryOf(start, offset += 1));
      } else if (draw < 0.85) {
        registry.apply(now, entryOf(Math.max(1, start - 1), offset - 1));
      } else if (draw < 0.95) {
        registry.recordStoreFailure(now);
      } else {
        registry.replace(now, [], logOffset(offset += 1));
      }
      registry.expire(now);
      const known = registry.find(ID);
      if (known !== undefined) entries.push(known);
      for (const entry of entries.slice(-3)) {
        t.is(
          registry.takesRequests(entry),
          registry.takesRequests({ ...entry }),
          `seed ${seed}, step ${step}, an entry of start ${entry.start}`,
        );
      }
      for (let one = 1; one <= start; one += 1) {
        const isAllowed = !departed.has(one);
        t.true(
          isAllowed || !registry.takesRequests(runOf(one)),
          `seed ${seed}, step ${step}, start ${one}`,
        );
      }
    }
    start += 1;
    registry.apply(instant(1e6), entryOf(start, offset += 1));
    t.true(registry.takesRequests(runOf(start)), `seed ${seed}, new start`);
  }
});
