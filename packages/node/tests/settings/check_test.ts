import test from "ava";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";

interface ProcessResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the daemon's entry point from source with --check. */
function runCheck(file: string): Promise<ProcessResult> {
  const parameters = [
    "--import=tsx",
    "--conditions=foxtailwind-source",
    "packages/node/src/main.ts",
    "--settings",
    file,
    "--check",
  ];
  return new Promise((resolve) => {
    execFile(process.execPath, parameters, (error, stdout, stderr) => {
      resolve({ code: Number(error?.code ?? 0), stdout, stderr });
    });
  });
}

test("--check validates settings without starting the daemon", async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), "foxtailwind-settings-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  const bad = path.join(folder, "bad.ini");
  writeFileSync(bad, "[node]\nid = a b\n");
  const [good, refused] = await Promise.all([
    runCheck("examples/node.ini"),
    runCheck(bad),
  ]);
  t.deepEqual(good, {
    code: 0,
    stdout: "The settings are valid.\n",
    stderr: "",
  });
  t.is(refused.code, 78);
  t.is(refused.stdout, "");
  t.snapshot(refused.stderr.replaceAll(folder, "(folder)"));
});
