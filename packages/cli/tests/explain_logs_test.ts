import { COMMANDS, EXIT_CODE, runCommandLine } from "@foxtailwind/cli";
import { clientAccountId, milliseconds } from "@foxtailwind/core";
import { digestApiKey } from "@foxtailwind/node/relay";
import test, { type ExecutionContext } from "ava";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import {
  RelayWorld,
  succeed,
} from "../../node/tests/relay/helpers/relay_world.ts";

/** More than requests end before their content is refused. */
const CRASHING_SERVERS = 16;

/** Explains a request from its id and a log file only. */
async function explain(
  t: ExecutionContext,
  lines: readonly string[],
  request: string,
) {
  const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-log-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const file = path.join(folder, "node-1.log");
  writeFileSync(file, lines.join(""));
  return await run(["explain", request, "--log", file]);
}

async function run(words: readonly string[]) {
  const written = { out: "", error: "" };
  const code = await runCommandLine(words, {
    commands: COMMANDS,
    context: {
      environment: {},
      writeOut: (text) => void (written.out += text),
      writeError: (text) => void (written.error += text),
    },
  });
  return { code, ...written };
}

function createWorld() {
  const lines: string[] = [];
  const world = new RelayWorld((line) => {
    lines.push(line);
  });
  world.configure();
  return { world, lines };
}

test("explains a refusal while the engine's new owner may not send orders", async (t) => {
  const { world, lines } = createWorld();
  await world.start(t);
  await world.addEngine("engine-1", milliseconds(30_000), (_, response) => {
    response.end();
  });
  const answer = await world.call("/engine/a", {
    headers: { "x-id": "refused", "x-adapter": "a1", "x-patience": "500" },
  });
  t.is(answer.status, 503);
  const { code, out } = await explain(t, lines, "refused");
  t.is(code, EXIT_CODE.ok);
  t.regex(out, /no_engine, status 503/);
  t.regex(
    out,
    /Engine engine-1 had a new owner, node node-1, which may not send it orders for 30000 ms\./,
  );
});

test("explains a placement in which questions to owners were withdrawn", async (t) => {
  const line = (outcome: string, asked: string) =>
    `${
      JSON.stringify({
        time: "2020-01-01T00:00:00.000Z",
        message: "callers: A request ended.",
        request: outcome,
        outcome,
        placed_after: 300,
        first_after: 20,
        asked,
      })
    }\n`;
  const lines = [
    line("no_engine", "e1@n1:no_room e2@n2:withdrawn"),
    line("answered", "e1@n1:granted e2@n2:withdrawn"),
  ];
  const refused = await explain(t, lines, "no_engine");
  t.regex(refused.out, /Everything on the engines that were asked was in use/);
  const late = await explain(t, lines, "answered");
  t.regex(late.out, /Engine e1 had to load its adapter first/);
});

test("explains a lost request by other requests lost at the same server", async (t) => {
  const { world, lines } = createWorld();
  await world.addServer("s1", (request) => {
    request.socket.destroy();
  });
  await world.start(t);
  for (const id of ["first", "second"]) {
    const answer = await world.call("/once/a", { headers: { "x-id": id } });
    t.is(answer.status, 502);
  }
  const { out } = await explain(t, lines, "second");
  t.regex(out, /lost, status 502/);
  t.regex(
    out,
    /Server s1 ended or stopped answering: 1 more requests were lost there/,
  );
});

test("explains a late answer by a change of owners, with the wait", async (t) => {
  const { world, lines } = createWorld();
  await world.start(t);
  await world.addEngine("engine-1", milliseconds(400), (request, response) => {
    succeed(request, response, "late");
  });
  const answer = await world.call("/engine/a", {
    headers: { "x-id": "late", "x-adapter": "a1" },
  });
  t.is(answer.status, 200);
  const { out } = await explain(t, lines, "late");
  t.regex(out, /answered, status 200/);
  t.regex(
    out,
    /It waited \d+ ms for a place\. Engine engine-1 had a new owner/,
  );
});

test("logs that cannot be read or lack the request have their own exit codes", async (t) => {
  const missing = await run(["explain", "r", "--log", "/no/such/file"]);
  t.is(missing.code, EXIT_CODE.usage);
  t.regex(missing.error, /Cannot read \/no\/such\/file/);
  const foreign = await explain(t, ["a line of another program\n"], "r");
  t.is(foreign.code, EXIT_CODE.usage);
  t.regex(foreign.error, /has no line of a node's log/);
  const line = JSON.stringify({
    time: "2026-01-01T00:00:00.000Z",
    message: "daemon: Started.",
    node: "node-1",
  });
  const unknown = await explain(t, [`{broken\n${line}\n`], "r");
  t.is(unknown.code, EXIT_CODE.notFound);
  t.regex(unknown.error, /No line says that request r ended/);
});

test("explains a refusal of content that crashes servers", async (t) => {
  const { world, lines } = createWorld();
  for (let index = 1; index <= CRASHING_SERVERS; index += 1) {
    await world.addServer(`s${index}`, () => {
      world.endServer(`s${index}`);
    });
  }
  await world.start(t);
  for (let index = 0; index < 8; index += 1) {
    const headers = { "x-id": `r${index}` };
    const { status } = await world.call("/once/crashing", { headers });
    world.knowledge.caughtUp();
    if (status === 503) break;
  }
  await world.call("/once/crashing", { headers: { "x-id": "refused" } });
  const { out } = await explain(t, lines, "refused");
  t.true(out.includes("have crashed servers"), out);
  t.true(out.includes("refused from now on"), out);
});

test("explains a refusal while all servers announce limits", async (t) => {
  const { world, lines } = createWorld();
  await world.addServer("s1", (request, response) => {
    response.setHeader("x-limit", "0.5");
    succeed(request, response, "served");
  });
  await world.start(t);
  await world.call("/once/a");
  await world.call("/once/b", { headers: { "x-id": "refused" } });
  const { out } = await explain(t, lines, "refused");
  t.true(out.includes("All servers that could run it announce limits"), out);
});

test("explains refusals by an unknown key, a revoked one and a quota", async (t) => {
  const { world, lines } = createWorld();
  await world.addServer("s1", (request, response) => {
    request.resume();
    succeed(request, response, "served");
  });
  await world.start(t);
  const one = clientAccountId("one");
  const quota = {
    unit: "tokens",
    rate: 1_000,
    burst: 1_000,
    plainTokens: 0,
  } as const;
  world.configure([{ id: one, keys: [digestApiKey("old")] }]);
  world.configure([{ id: one, keys: [digestApiKey("new")], quota }]);
  const explainCall = async (
    id: string,
    key: string,
    tokens: string,
    status: number,
  ) => {
    const headers = { "x-id": id, "x-key": key, "x-tokens": tokens };
    const answer = await world.call("/once/a", { headers });
    t.is(answer.status, status, id);
    return (await explain(t, lines, id)).out;
  };
  const unknown = await explainCall("unknown", "no-key", "1", 401);
  t.regex(unknown, /no API key of an account in configuration 3/);
  const revoked = await explainCall("revoked", "old", "1", 401);
  t.regex(revoked, /one of account one, and configuration 3 revoked it/);
  await explainCall("large", "new", "900", 200);
  const over = await explainCall("over", "new", "1000", 429);
  t.regex(over, /Account one was over its quota.*after \d+ ms/);
});
