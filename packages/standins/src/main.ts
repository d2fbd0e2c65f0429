#!/usr/bin/env node
/**
 * The program `foxtailwind-standins`: starts stand-ins on loopback. It prints
 * one JSON line per stand-in, then one with the kind `ready`.
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

const INVALID_SETTINGS_EXIT_CODE = 2;

const settingPairsOption = {
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
    describe:
      "Names of plain services; each gets one server per failure domain",
  })
  .option("log-setting", settingPairsOption)
  .option("store-setting", settingPairsOption)
  .option("vm-list-setting", settingPairsOption)
  .option("engine-setting", settingPairsOption)
  .option("service-setting", settingPairsOption)
  .strict()
  .parseAsync();

// Standard output is reserved for the JSON lines.
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
  process.exitCode = INVALID_SETTINGS_EXIT_CODE;
}

function printLine(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function closeOnSignal(started: readonly StartedStandIn[]): void {
  let isClosing = false;
  const close = (): void => {
    if (isClosing) return;
    isClosing = true;
    void Promise.all(started.map(({ standIn }) => standIn.close()));
  };
  process.on("SIGTERM", close);
  process.on("SIGINT", close);
}
