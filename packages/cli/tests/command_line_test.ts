import test, { type ExecutionContext } from "ava";
import { InProcessCluster } from "@foxtailwind/bench";
import { COMMANDS, EXIT_CODE, runCommandLine } from "@foxtailwind/cli";
import { CONFIGURATION_STREAM, logOffset } from "@foxtailwind/core";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { normalise } from "./console_page.ts";

async function run(words: readonly string[], node?: string) {
  const written = { out: "", error: "" };
  const code = await runCommandLine(words, {
    commands: COMMANDS,
    context: {
      environment: { FOXTAILWIND_NODE: node },
      writeOut: (text) => void (written.out += text),
      writeError: (text) => void (written.error += text),
    },
  });
  return {
    code,
    out: normalise(written.out),
    error: normalise(written.error),
  };
}

async function startNode(t: ExecutionContext) {
  const cluster = await InProcessCluster.start({ nodes: 1, domains: 1 });
  t.teardown(() => cluster.stop());
  return { cluster, node: cluster.nodes[0]?.addresses.http ?? "" };
}

/** Returns the number of records appended to the configuration stream. */
async function countAppendedRecords(
  cluster: InProcessCluster,
): Promise<number> {
  const page = await cluster.nodes[0]?.daemon.log.read(CONFIGURATION_STREAM, {
    from: logOffset(0),
    limit: 1,
    waitMilliseconds: 0,
  });
  return page?._unsafeUnwrap().tail ?? -1;
}

function writeConfigurationFile(t: ExecutionContext, text: string): string {
  const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-cli-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const file = path.join(folder, "changes.ini");
  writeFileSync(file, text);
  return file;
}

test("help lists the commands, and none sets a weight or a placement", async (t) => {
  const help = await run(["--help"]);
  t.snapshot(help);
  for (
    const group of ["classes", "services", "adapters", "tenants", "config"]
  ) {
    const inner = await run([group, "--help"]);
    t.notRegex(inner.out, /weight|placement|priority|replica|pin/i);
  }
});

test("usage errors name a remedy and exit with code 2", async (t) => {
  t.snapshot([
    await run(["clases", "list"]),
    await run(["classes"]),
    await run(["classes", "set", "drafting"], "127.0.0.1:1"),
    await run(["classes", "list"]),
    await run(["classes", "list", "--weight", "3"], "127.0.0.1:1"),
    await run(
      "classes set a --first-token 3 --id a".split(" "),
      "127.0.0.1:1",
    ),
    await run(["config", "publish", "/nonexistent.ini"], "127.0.0.1:1"),
  ]);
});

test("a node that cannot be reached has its own exit code", async (t) => {
  t.is((await run(["nodes"], "127.0.0.1:1")).code, EXIT_CODE.unreachable);
});

test("all problems of a configuration file are reported at once", async (t) => {
  const { cluster, node } = await startNode(t);
  const file = writeConfigurationFile(
    t,
    `loose = 1
[class drafting]
first_tokn_milliseconds = 800
[class summarising]
first_token_milliseconds = soon
[clas x]
[adapter stain.notes]
model = base
versions = v1 v2
current = v3
[tenant a b]
[service booking]
first_token_milliseconds = 50
weight = 3
`,
  );
  const result = await run(["config", "publish", file], node);
  t.is(result.code, EXIT_CODE.usage);
  t.snapshot(result.error.replaceAll(file, "changes.ini"));
  t.is(await countAppendedRecords(cluster), 0);
});

test("a dry run publishes nothing, and a second publish changes nothing", async (t) => {
  const { cluster, node } = await startNode(t);
  const file = writeConfigurationFile(
    t,
    "[class drafting]\nfirst_token_milliseconds = 800\n[tenant kauri.fresh]\n",
  );
  const dry = await run(["config", "publish", file, "--dry-run"], node);
  t.is(await countAppendedRecords(cluster), 0);
  const published = await run(["config", "publish", file], node);
  const again = await run(["config", "publish", file], node);
  t.is(await countAppendedRecords(cluster), 1);
  t.snapshot([dry, published, again]);
});

test("a change whose answer is lost is retried by id, not published twice", async (t) => {
  const { cluster, node } = await startNode(t);
  let posts = 0;
  const losing = createServer((request, response) => {
    let body = "";
    request.on("data", (part: Buffer) => {
      body += part.toString();
    });
    request.on("end", () => {
      void (async () => {
        const answer = await fetch(`http://${node}${request.url ?? ""}`, {
          method: request.method ?? "POST",
          headers: { "content-type": "application/json" },
          body,
        });
        posts += 1;
        if (posts === 1) request.socket.destroy();
        else response.end(await answer.text());
      })();
    });
  });
  await new Promise<void>((resolve) => losing.listen(0, "127.0.0.1", resolve));
  t.teardown(() => losing.close());
  const { port } = losing.address() as AddressInfo;
  const result = await run(
    "classes set drafting --first-token 800 --id lost --base -1".split(" "),
    `127.0.0.1:${port}`,
  );
  t.deepEqual(result, {
    code: EXIT_CODE.ok,
    out: "Accepted at offset 0 (change lost).\n",
    error: "",
  });
  t.is(posts, 2);
  t.is(await countAppendedRecords(cluster), 1);
});

test("completion prints a shell script", async (t) => {
  t.regex((await run(["completion"])).out, /complete/);
});
