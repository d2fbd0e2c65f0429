/**
 * Compares ways to find what crashes servers, in virtual time.
 * @module
 */
import Table from "cli-table3";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { CRASH_ALTERNATIVES } from "./crash_mutants.ts";
import { CRASH_CAUSES } from "./crash_scenario.ts";
import { runCrashSoak } from "./crash_soak.ts";

const options = yargs(hideBin(process.argv))
  .scriptName("bench:crashes")
  .option("seeds", { type: "number", default: 40, describe: "Seeds a cause" })
  .option("seed", { type: "number", default: 1, describe: "The first seed" })
  .strict()
  .parseSync();

const table = new Table({
  head: ["cause", "way", "crashes", "late", "broken", "begun", "records"],
});
for (const cause of CRASH_CAUSES) {
  for (const [way, rules] of CRASH_ALTERNATIVES) {
    const runs = Array.from(
      { length: options.seeds },
      (_, index) => runCrashSoak(options.seed + index, rules, cause),
    );
    const sum = (name: string): number =>
      runs.reduce((total, { counts }) => total + (counts?.[name] ?? 0), 0);
    const mean = (name: string): string =>
      (sum(name) / options.seeds).toFixed(1);
    table.push([
      cause,
      way,
      mean("crashes"),
      mean("late_sends"),
      runs.filter(({ finding }) => finding !== undefined).length,
      (sum("sharing_begun") / sum("sharing")).toFixed(3),
      mean("records"),
    ]);
  }
}
process.stdout.write(`${table.toString()}\n`);
