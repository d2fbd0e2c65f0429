#!/usr/bin/env node
/**
 * The program `foxtailwind-standins`: starts stand-ins on loopback and prints
 * one JSON line for each, then one with the kind `ready`.
 * @module
 */
import { createConsola } from "consola";
import { readFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { PlanError } from "./program/plan.ts";
import { planFromFlags } from "./program/plan_from_flags.ts";
import { planFromIni } from "./program/plan_from_ini.ts";
import {
  type StartedStandIn,
  startStandIns,
} from "./program/start_stand_ins.ts";

const EXIT_BAD_SETTINGS = 2;

const pairs = {
  type: "string",
  array: true,
  default: [] as string[],
  describe: "NAME=VALUE, repeatable",
} as const;

const flags = await yargs(hideBin(process.argv))
  .scriptName("foxtailwind-standins")
  .usage("$0 [options]\n\nStarts stand-ins on loopback for tests.")
  .option("settings", {
    type: "string",
    describe: "INI file that lists the stand-ins; other options are ignored",
  })
  .option("host", { type: "string", default: "127.0.0.1" })
  .option("seed", { type: "number", default: 1 })
  .option("region", { type: "string", default: "region-1" })
  .option("domains", {
    type: "number",
    default: 1,
    describe: "Number of failure domains",
  })
  .option("engines", { type: "number", default: 2 })
  .option("services", {
    type: "string",
    array: true,
    default: [] as string[],
    describe: "Plain services; one server of each in each failure domain",
  })
  .option("log-setting", pairs)
  .option("store-setting", pairs)
  .option("vm-list-setting", pairs)
  .option("engine-setting", pairs)
  .option("service-setting", pairs)
  .strict()
  .parseAsync();

// Standard output carries the JSON lines only.
const log = createConsola({ stdout: process.stderr }).withTag("standins");

try {
  const plans = flags.settings === undefined
    ? planFromFlags(flags)
    : planFromIni(await readFile(flags.settings, "utf8"));
  const started = await startStandIns(plans);
  for (const { kind, id, address, failureDomain } of started) {
    printLine({ kind, id, address, failureDomain });
  }
  printLine({ kind: "ready", standIns: started.length });
  closeOnSignal(started);
} catch (error) {
  if (!(error instanceof PlanError)) throw error;
  log.error(error.message);
  process.exitCode = EXIT_BAD_SETTINGS;
}

function printLine(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function closeOnSignal(started: readonly StartedStandIn[]): void {
  let closing = false;
  const close = (): void => {
    if (closing) return;
    closing = true;
    void Promise.all(started.map(({ standIn }) => standIn.close()));
  };
  process.on("SIGTERM", close);
  process.on("SIGINT", close);
}
