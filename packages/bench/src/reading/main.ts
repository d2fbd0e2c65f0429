/**
 * Compares policies that decide when an engine gets its prompts, over seeds and
 * loads, and plots the late shares.
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runPrefillExperiment } from "./reading_experiment.ts";
import { formatPrefillPage, formatPrefillTable } from "./reading_report.ts";

const LOADS = [0.2, 0.3, 0.4, 0.5, 0.6, 0.7];

const options = await yargs(hideBin(process.argv))
  .option("seeds", { type: "number", default: 20 })
  .option("out", { type: "string", default: "out/reading.html" })
  .strict()
  .parse();

const seeds = Array.from({ length: options.seeds }, (_, index) => index + 1);
const outcomes = runPrefillExperiment({ loads: LOADS, seeds });
process.stdout.write(`${formatPrefillTable(outcomes)}\n`);
mkdirSync(dirname(options.out), { recursive: true });
writeFileSync(options.out, formatPrefillPage(outcomes, LOADS));
process.stdout.write(`Page with plots: ${options.out}\n`);
