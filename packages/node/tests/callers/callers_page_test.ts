import test from "ava";
import { readFileSync } from "node:fs";
import { startCallerCluster, UUID } from "../helpers/caller.ts";

interface Example {
  readonly command: string;
  readonly output: string;
}

const BLOCK = /```console\n\$ (curl .*)\n([\s\S]*?)```/g;
const WORD = /'[^']*'|"[^"]*"|\S+/g;

test("the examples of docs/CALLERS.md return the documented output", async (t) => {
  const page = readFileSync("docs/CALLERS.md", "utf8");
  const examples = [...page.matchAll(BLOCK)].map(([, command, output]) => ({
    command: command ?? "",
    output: output ?? "",
  }));
  t.true(examples.length > 0);
  const cluster = await startCallerCluster(t, {
    skipWarmUp: true,
    engineSettings: ["tokens_per_frame=64"],
  });
  await cluster.publish([{
    kind: "set_adapter",
    adapter: "agreements",
    model: "base",
    versions: ["v1"],
    current: "v1",
  }]);
  for (const example of examples) {
    const answer = await runCurl(example, cluster.url());
    t.is(
      normalizeOutput(answer),
      normalizeOutput(example.output),
      example.command,
    );
  }
});

/** Emulates curl for the few options that the page uses. */
async function runCurl(example: Example, node: string): Promise<string> {
  const words = example.command.replace("$NODE", node).match(WORD) ?? [];
  const headers = new Headers();
  let url = "";
  let body: string | undefined;
  for (let index = 1; index < words.length; index += 1) {
    const word = unquote(words[index] ?? "");
    if (word === "-H") {
      const [name = "", value = ""] = unquote(words[++index] ?? "").split(": ");
      headers.set(name, value);
    } else if (word === "-d") {
      body = unquote(words[++index] ?? "");
    } else if (!word.startsWith("-")) {
      url = word;
    }
  }
  const method = body === undefined ? "GET" : "POST";
  const request = { method, headers, ...(body !== undefined && { body }) };
  return await (await fetch(url, request)).text();
}

function unquote(word: string): string {
  return word.replace(/^(['"])(.*)\1$/, "$2");
}

/** Replaces values that differ between runs. */
function normalizeOutput(text: string): string {
  return text.trim()
    .replaceAll(UUID, "(id)")
    .replaceAll(/"expires_in_seconds":[\d.]+/g, '"expires_in_seconds":0')
    .replaceAll(/"created":\d+/g, '"created":0')
    .replaceAll(/127\.0\.0\.1:\d+/g, "(address)")
    .replaceAll(/"key_scope":"[^"]*"/g, '"key_scope":"(scope)"');
}
