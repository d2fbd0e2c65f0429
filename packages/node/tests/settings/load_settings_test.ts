import test from "ava";
import { formatSettingsProblem, parseSettings } from "@foxtailwind/node";

test("every problem of a settings file is told at once", (t) => {
  const result = parseSettings(
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
    "node.ini",
  );
  t.snapshot(result._unsafeUnwrapErr().map(formatSettingsProblem));
});
