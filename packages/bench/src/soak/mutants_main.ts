import Table from "cli-table3";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { OWNERSHIP_MUTANTS, type OwnershipMutant } from "./mutants.ts";
import { runOwnershipSoak, type SoakFinding } from "./ownership_soak.ts";

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

const chosen = OWNERSHIP_MUTANTS.filter(({ name }) =>
  options.only === undefined || name.includes(options.only)
);
const table = new Table({ head: ["mutant", "caught by", "seed", "runs"] });
let survivors = 0;
for (const mutant of chosen) {
  const finding = hunt(mutant);
  if (finding === undefined) survivors += 1;
  table.push([
    mutant.name,
    finding?.invariant ?? "SURVIVED",
    finding?.seed ?? "-",
    finding === undefined ? options.runs : finding.seed - options.seed + 1,
  ]);
}
process.stdout.write(`${table.toString()}\n`);
process.stdout.write(`${survivors} of ${chosen.length} mutants survived.\n`);
if (survivors > 0) process.exitCode = 1;

function hunt(mutant: OwnershipMutant): SoakFinding | undefined {
  for (let run = 0; run < options.runs; run += 1) {
    const { finding } = runOwnershipSoak(options.seed + run, mutant);
    if (finding !== undefined) return finding;
  }
  return undefined;
}
