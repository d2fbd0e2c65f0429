import {
  formatSettingsProblem,
  loadSettings,
  parseSettings,
  SETTINGS_SECTIONS,
} from "@foxtailwind/node";
import test from "ava";
import { readFileSync } from "node:fs";

const SAMPLE = "examples/node.ini";

function listProblems(text: string): readonly string[] {
  const result = parseSettings(text, "node.ini");
  return result.isErr() ? result.error.map(formatSettingsProblem) : [];
}

test("all problems of a settings file are reported together", (t) => {
  t.snapshot(listProblems(
    `[node]
id = node one
region = r1

[listen]
http = localhost:8080
grpc = 127.0.0.1:0

[platform]
log = http://log.example
vm_list = http://127.0.0.1:1
weight_store = http://127.0.0.1:2

[logs]
format = xml
`,
  ));
});

test("unknown keys and sections are refused with the nearest known one", (t) => {
  const sample = readFileSync(SAMPLE, "utf8");
  t.snapshot(listProblems(
    `stray = 1
${sample}
[log]
format = json

[metric]
statsd = 127.0.0.1:8125
`.replace("failure_domain =", "failuredomain ="),
  ));
});

test("repeated sections and keys are refused", (t) => {
  const sample = readFileSync(SAMPLE, "utf8");
  t.snapshot(listProblems(
    `${sample}
[node]
id = node-2
`,
  ));
});

test("numbers and addresses out of range are refused", (t) => {
  const sample = readFileSync(SAMPLE, "utf8");
  t.snapshot(listProblems(
    sample.replace(/^http = .*/m, "http = 127.0.0.1:99999")
      .replace(/^;? ?body_bytes = .*/m, "body_bytes = 4MB")
      .replace(/^;? ?unread_milliseconds = .*/m, "unread_milliseconds = 0")
      .replace(/^;? ?lifetime_seconds = .*/m, "lifetime_seconds ="),
  ));
});

test("settings cannot hold latency targets", (t) => {
  const text = `${readFileSync(SAMPLE, "utf8")}
[classes]
drafting = 1200
`;
  t.snapshot(listProblems(text));
});

test("a missing file is reported as one problem", (t) => {
  const result = loadSettings("no/such/file.ini");
  t.is(result._unsafeUnwrapErr().length, 1);
});

test("the sample file is valid and contains every key", (t) => {
  t.deepEqual(listProblems(readFileSync(SAMPLE, "utf8")), []);
  const text = readFileSync(SAMPLE, "utf8").replace(/^; (?=\w+ =)/gm, "");
  t.deepEqual(listProblems(text), []);
  for (const [section, schema] of Object.entries(SETTINGS_SECTIONS)) {
    t.true(text.includes(`[${section}]`), section);
    for (const key of Object.keys(schema.shape)) {
      t.regex(text, new RegExp(`^${key} = `, "m"), key);
    }
  }
});
