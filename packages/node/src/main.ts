#!/usr/bin/env -S node --max-semi-space-size=64
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Daemon } from "./daemon.ts";
import { LoggerFactory } from "./logging/component_logger.ts";
import {
  formatSettingsProblem,
  loadSettings,
} from "./settings/load_settings.ts";

const EXIT_INVALID_SETTINGS = 78;
/** Requests were cut off because the operator's maximum wait had passed. */
const EXIT_CUT_OFF = 75;
const CONSOLA_LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const;

const options = await yargs(hideBin(process.argv))
  .scriptName("foxtailwind-node")
  .option("settings", {
    type: "string",
    demandOption: true,
    describe: "The INI file with this node's settings",
  })
  .option("check", {
    type: "boolean",
    default: false,
    describe: "Check the settings and exit",
  })
  .strict()
  .parse();

const settings = loadSettings(options.settings);
if (settings.isErr()) {
  for (const problem of settings.error) {
    process.stderr.write(`${formatSettingsProblem(problem)}\n`);
  }
  process.exit(EXIT_INVALID_SETTINGS);
}
if (options.check) {
  process.stdout.write("The settings are valid.\n");
  process.exit(0);
}

const { format, level } = settings.value.logs;
const loggers = new LoggerFactory(format, CONSOLA_LEVELS[level]);
const logger = loggers.forComponent("daemon");
const daemon = new Daemon(settings.value, loggers);
const addresses = await daemon.start();
process.stdout.write(`${JSON.stringify({ ready: addresses })}\n`);
logger.info("Ready.", { ...addresses });

let stopping = false;
async function stop(): Promise<void> {
  if (stopping) {
    logger.info("Still stopping: work in progress is finished first.", {
      requests: daemon.work.count,
    });
    return;
  }
  stopping = true;
  logger.info("Stopping.");
  const cutOff = await daemon.stop();
  logger.info("Stopped.", { cutOff });
  process.exit(cutOff > 0 ? EXIT_CUT_OFF : 0);
}
process.on("SIGTERM", () => void stop());
process.on("SIGINT", () => void stop());
