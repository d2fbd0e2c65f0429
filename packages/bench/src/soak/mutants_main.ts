import Table from "cli-table3";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { SoakFinding } from "./ownership_soak.ts";
import { SOAK_MUTANTS, type SoakMutant } from "./registry.ts";

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "The first seed" })
  .option("runs", {
    type: "number",
    default: 600,
    describe: "How many seeds a mutant may survive",
  })
  .option("only", { type: "string", describe: "A part of the mutants' names" })
  .strict()
  .parse();

const chosen = SOAK_MUTANTS.filter(({ soak, name }) =>
  options.only === undefined || `${soak}: ${name}`.includes(options.only)
);
const table = new Table({
  head: ["soak", "mutant", "caught by", "seed", "runs"],
});
let survivors = 0;
for (const mutant of chosen) {
  const finding = await hunt(mutant);
  if (finding === undefined) survivors += 1;
  table.push([
    mutant.soak,
    mutant.name,
    finding?.invariant ?? "SURVIVED",
    finding?.seed ?? "-",
    finding === undefined ? options.runs : finding.seed - options.seed + 1,
  ]);
}
process.stdout.write(`${table.toString()}\n`);
process.stdout.write(`${survivors} of ${chosen.length} mutants survived.\n`);
if (survivors > 0) process.exitCode = 1;

async function hunt(mutant: SoakMutant): Promise<SoakFinding | undefined> {
  for (let run = 0; run < options.runs; run += 1) {
    const { finding } = await mutant.run(options.seed + run);
    if (finding !== undefined) return finding;
  }
  return undefined;
}
