import Table from "cli-table3";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { SoakFinding, SoakRun } from "./ownership_soak.ts";
import { type Soak, SOAKS } from "./registry.ts";

const MILLISECONDS_PER_MINUTE = 60_000;
const MOST_FINDINGS = 5;

interface SoakReport {
  readonly soak: string;
  readonly runs: number;
  readonly orders: number;
  readonly lastSeed: number;
  readonly counts: ReadonlyMap<string, number>;
  readonly findings: readonly SoakFinding[];
}

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "The first seed" })
  .option("minutes", {
    type: "number",
    default: 1,
    describe: "How long to run each soak",
  })
  .option("runs", {
    type: "number",
    default: Infinity,
    describe: "How many seeds at most",
  })
  .option("only", { type: "string", describe: "The name of one soak" })
  .strict()
  .parse();

const chosen = SOAKS.filter(({ name }) =>
  options.only === undefined || options.only === name
);
const reports: SoakReport[] = [];
for (const soak of chosen) reports.push(await repeat(soak));
print(reports);
if (reports.some(({ findings }) => findings.length > 0)) process.exitCode = 1;

async function repeat(soak: Soak): Promise<SoakReport> {
  const end = performance.now() + options.minutes * MILLISECONDS_PER_MINUTE;
  const findings: SoakFinding[] = [];
  const sums = new Map<string, number>();
  let seed = options.seed;
  let orders = 0;
  let runs = 0;
  while (performance.now() < end && runs < options.runs) {
    const { finding, orders: given, counts } = await runCaught(soak, seed);
    for (const [name, count] of Object.entries(counts ?? {})) {
      sums.set(name, (sums.get(name) ?? 0) + count);
    }
    orders += given;
    runs += 1;
    seed += 1;
    if (finding !== undefined) findings.push(finding);
    if (findings.length >= MOST_FINDINGS) break;
  }
  return {
    soak: soak.name,
    runs,
    orders,
    lastSeed: seed - 1,
    counts: sums,
    findings,
  };
}

async function runCaught(soak: Soak, seed: number): Promise<SoakRun> {
  try {
    return await soak.run(seed);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return { orders: 0, finding: { seed, invariant: "thrown", detail } };
  }
}

function print(printed: readonly SoakReport[]): void {
  const table = new Table({
    head: ["soak", "seeds", "runs", "orders", "broken"],
  });
  for (const { soak, runs, orders, lastSeed, findings } of printed) {
    const seeds = `${options.seed} to ${lastSeed}`;
    table.push([soak, seeds, runs, orders, findings.length]);
  }
  process.stdout.write(`${table.toString()}\n`);
  for (const { counts, findings } of printed) {
    for (const [name, count] of counts) {
      process.stdout.write(`${name}: ${count}\n`);
    }
    for (const { seed, invariant, detail } of findings) {
      process.stdout.write(`seed ${seed}: ${invariant}: ${detail}\n`);
    }
  }
}
