import test from "ava";
import fc from "fast-check";
import {
  BASE_WINDOW,
  changeId,
  classId,
  Configuration,
  ConfigurationReader,
  configurationRecordSchema,
  formatSnapshotManifest,
  InvariantViolation,
  logOffset,
  REMEMBERED_CHANGES,
  restoreSnapshot,
  type StoredRecord,
  takeSnapshot,
} from "@foxtailwind/core";
import { setClass, storedRecord } from "./records.ts";

const DRAFTING = classId("drafting");

function firstTokenTargetOf(reader: ConfigurationReader): number | undefined {
  return reader.configuration.classes.get(DRAFTING)?.firstTokenMilliseconds;
}

test("a repeated id gets the first verdict and is never applied again", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { id: "a", changes: [setClass("drafting", 1)] }));
  reader.read(storedRecord(1, { id: "b", changes: [setClass("drafting", 2)] }));
  const again = reader.read(
    storedRecord(2, { id: "a", changes: [setClass("drafting", 1)] }),
  );
  t.deepEqual(again, {
    kind: "read",
    verdict: {
      kind: "repeated",
      first: logOffset(0),
      verdict: { kind: "accepted" },
      same: true,
    },
  });
  t.is(firstTokenTargetOf(reader), 2);
});

test("an id reused for another change is distinguished from a repeat", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { id: "a", changes: [setClass("drafting", 1)] }));
  const other = reader.read(
    storedRecord(1, { id: "a", changes: [setClass("drafting", 9)] }),
  );
  t.like(other, { verdict: { kind: "repeated", same: false } });
  t.is(firstTokenTargetOf(reader), 1);
});

test("a repeat whose id is no longer remembered is still not applied", (t) => {
  const reader = new ConfigurationReader();
  const first = { id: "a", base: -1, changes: [setClass("drafting", 1)] };
  reader.read(storedRecord(0, first));
  reader.read(storedRecord(1, { changes: [setClass("drafting", 2)] }));
  for (let offset = 2; offset < REMEMBERED_CHANGES + 3; offset += 1) {
    reader.read(storedRecord(offset, { changes: [setClass("other", offset)] }));
  }
  const late = reader.read(storedRecord(REMEMBERED_CHANGES + 3, first));
  t.like(late, { verdict: { kind: "conflict", winner: logOffset(1) } });
  t.is(firstTokenTargetOf(reader), 2);
});

test("a conflict reports the item, the winner's offset, author and id", (t) => {
  const reader = new ConfigurationReader();
  const changes = [setClass("drafting", 1)];
  reader.read(storedRecord(0, { id: "a", author: "mere", base: -1, changes }));
  const lost = reader.read(
    storedRecord(1, { author: "arif", base: -1, changes }),
  );
  t.snapshot(lost);
});

test("a base outside the window, or not read yet, is refused", (t) => {
  const configuration = new Configuration();
  const record = (base: number) =>
    configurationRecordSchema.parse({
      id: `base-${base}`,
      author: "operator",
      base,
      changes: [setClass("drafting", 1)],
    });
  configuration.skipTo(logOffset(BASE_WINDOW));
  t.like(configuration.apply(logOffset(BASE_WINDOW + 1), record(0)), {
    kind: "base_out_of_range",
    oldest: logOffset(1),
  });
  const future = configuration.apply(logOffset(BASE_WINDOW + 2), record(1e6));
  t.is(future.kind, "base_out_of_range");
});

test("a late record cannot recreate a removed item", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { changes: [setClass("drafting", 1)] }));
  reader.read(storedRecord(1, {
    changes: [{ kind: "remove_class", class: "drafting" }],
  }));
  const late = storedRecord(2, { base: 0, changes: [setClass("drafting", 1)] });
  t.like(reader.read(late), { verdict: { kind: "conflict" } });
});

test("corrupt records are skipped and counted", (t) => {
  const reader = new ConfigurationReader();
  const texts = ["{", "[]", "7", "null", `{"id":"x"}`, `{"format":0}`];
  for (const [index, data] of texts.entries()) {
    t.is(reader.read({ offset: logOffset(index), data }).kind, "corrupt");
  }
  t.is(reader.corruptRecords, texts.length);
  t.is(reader.nextOffset, logOffset(texts.length));
});

test("a reader stops before a record of a newer format", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { changes: [setClass("drafting", 1)] }));
  reader.read({ offset: logOffset(1), data: `{"format":2,"id":"new"}` });
  const after = storedRecord(2, { changes: [setClass("drafting", 2)] });
  t.is(reader.read(after).kind, "halted");
  t.is(firstTokenTargetOf(reader), 1);
  t.deepEqual(reader.halt, {
    offset: logOffset(1),
    format: 2,
    newestFormat: 1,
  });
});

test("references to the configuration see an adopted snapshot", (t) => {
  const ahead = new ConfigurationReader();
  ahead.read(storedRecord(0, { changes: [setClass("drafting", 1)] }));
  const reader = new ConfigurationReader();
  const held = reader.configuration;
  const { chunks } = takeSnapshot(ahead.configuration);
  reader.adopt(restoreSnapshot(chunks)._unsafeUnwrap());
  t.is(held.classes.get(DRAFTING)?.firstTokenMilliseconds, 1);
  t.is(held, reader.configuration);
});

test("an older snapshot is never adopted", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { changes: [setClass("drafting", 1)] }));
  const old = restoreSnapshot(takeSnapshot(reader.configuration).chunks);
  reader.read(storedRecord(1, { changes: [setClass("drafting", 2)] }));
  t.throws(() => {
    reader.adopt(old._unsafeUnwrap());
  }, { instanceOf: InvariantViolation });
});

test("a snapshot that differs from the records read is detected", (t) => {
  const reader = new ConfigurationReader();
  reader.read(storedRecord(0, { changes: [setClass("drafting", 1)] }));
  const data = formatSnapshotManifest({
    covers: logOffset(0),
    digest: "0000000000000000",
    chunks: [logOffset(0)],
  });
  const reading = reader.read({ offset: logOffset(1), data });
  t.deepEqual(reading, { kind: "manifest", matches: false });
  t.is(reader.mismatchedSnapshots, 1);
  t.is(reader.lastManifest, undefined);
});

const changeArbitrary = fc.record({
  kind: fc.constantFrom("set", "remove"),
  item: fc.constantFrom("class", "tenant", "adapter", "service"),
  name: fc.constantFrom("a", "b", "c.d"),
  number: fc.integer({ min: 1, max: 9 }),
}).map(({ kind, item, name, number }): object => {
  const values = {
    class: { target: { firstTokenMilliseconds: number } },
    service: { target: { firstTokenMilliseconds: number } },
    tenant: {},
    adapter: { model: "base", versions: [`v${number}`], current: `v${number}` },
  };
  return {
    kind: `${kind}_${item}`,
    [item]: name,
    ...(kind === "set" && values[item]),
  };
});

const recordPlanArbitrary = fc.record({
  change: changeArbitrary,
  age: fc.integer({ min: 0, max: 4 }),
  id: fc.option(fc.integer({ min: 0, max: 20 }), { nil: undefined }),
  corrupt: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
});

test("a reader restored from a snapshot equals one that read all records", (t) => {
  fc.assert(
    fc.property(
      fc.array(recordPlanArbitrary, { minLength: 1, maxLength: 40 }),
      fc.nat(),
      (recordPlans, at) => {
        const records = recordPlans.map((recordPlan, offset): StoredRecord =>
          recordPlan.corrupt
            ? { offset: logOffset(offset), data: "{" }
            : storedRecord(
              offset,
              {
                id: `id-${recordPlan.id ?? offset + 100}`,
                base: Math.max(-1, offset - 1 - recordPlan.age),
                changes: [recordPlan.change],
              },
            )
        );
        const fullReader = new ConfigurationReader();
        const lateReader = new ConfigurationReader();
        const cut = at % records.length;
        for (const record of records.slice(0, cut + 1)) fullReader.read(record);
        const snapshot = takeSnapshot(fullReader.configuration);
        lateReader.adopt(restoreSnapshot(snapshot.chunks)._unsafeUnwrap());
        t.deepEqual(takeSnapshot(lateReader.configuration), snapshot);
        for (const record of records.slice(cut + 1)) {
          t.deepEqual(lateReader.read(record), fullReader.read(record));
          t.is(
            lateReader.configuration.digest,
            fullReader.configuration.digest,
          );
        }
        t.deepEqual(
          takeSnapshot(lateReader.configuration),
          takeSnapshot(fullReader.configuration),
        );
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test("a snapshot with missing, reordered or altered chunks is refused", (t) => {
  const reader = new ConfigurationReader();
  for (let offset = 0; offset < 3_000; offset += 1) {
    const id = changeId(`change-${offset}`);
    reader.read(
      storedRecord(offset, { id, changes: [setClass(`class-${offset}`, 1)] }),
    );
  }
  const { chunks } = takeSnapshot(reader.configuration);
  t.true(chunks.length > 2);
  const altered = chunks.map((chunk) => chunk.replace("class-7", "class-8"));
  t.true(restoreSnapshot(chunks).isOk());
  t.true(restoreSnapshot(chunks.slice(1)).isErr());
  t.true(restoreSnapshot(chunks.slice(0, -1)).isErr());
  t.true(restoreSnapshot([...chunks].reverse()).isErr());
  t.true(restoreSnapshot(altered).isErr());
  t.true(restoreSnapshot([]).isErr());
});
