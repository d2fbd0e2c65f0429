import {
  contentDigest,
  type CrashRecord,
  engineId,
  engineRun,
  formatCrashRecord,
  milliseconds,
  parseCrashRecord,
} from "@foxtailwind/core";
import test from "ava";

const CONTENT = contentDigest("c1");
const RECORDS: readonly CrashRecord[] = [
  {
    kind: "suspected",
    suspicion: {
      content: CONTENT,
      server: engineRun(engineId("engine-1"), "boot-2"),
      ranFor: milliseconds(12),
    },
  },
  {
    kind: "suspected",
    suspicion: {
      content: CONTENT,
      partPosition: 1,
      server: engineRun(engineId("engine-1"), "boot-2"),
      ranFor: milliseconds(12),
    },
  },
  {
    kind: "cleared",
    key: {
      content: CONTENT,
      server: engineRun(engineId("engine-1"), "boot-2"),
    },
  },
  { kind: "served", content: CONTENT },
];

test("records of crashes are read as they were written", (t) => {
  const texts = RECORDS.map(formatCrashRecord);
  t.snapshot(texts);
  t.deepEqual(
    texts.map((text) => parseCrashRecord(text)._unsafeUnwrap()),
    [...RECORDS],
  );
});

test("malformed records are rejected", (t) => {
  const foreign = [
    "",
    "{}",
    `{"kind":"served","content":""}`,
    `{"kind":"suspected","suspicion":{"content":"c1","server":"s"}}`,
  ];
  for (const text of foreign) t.true(parseCrashRecord(text).isErr(), text);
});
