/**
 * The policy measurements: decisions under virtual time, ours and baselines
 * on the same workloads, as tables and as a page with plots.
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type NamedPolicy, POLICIES } from "./policy_registry.ts";
import { formatWorkloadReport } from "./report/console_table.ts";
import { htmlReport } from "./report/html_report.ts";
import { measureRun } from "./report/run_result.ts";
import { boundsOf, type WorkloadReport } from "./report/workload_report.ts";
import { measureScaling } from "./scaling/decision_scaling.ts";
import {
  WORKLOAD_KINDS,
  type WorkloadKind,
} from "./workloads/all_workloads.ts";

const QUICK_SEEDS = 1;

const options = yargs(hideBin(process.argv))
  .scriptName("bench:policy")
  .option("seeds", {
    type: "number",
    default: 5,
    describe: "How many seeds, from 1",
  })
  .option("quick", {
    type: "boolean",
    default: false,
    describe: "One seed and no scaling measurement",
  })
  .option("brief", {
    type: "boolean",
    default: false,
    describe: "Print totals only; the page has all",
  })
  .option("policy", {
    type: "string",
    array: true,
    choices: POLICIES.map((policy) => policy.name),
    default: POLICIES.map((policy) => policy.name),
    describe: "Which policies run",
  })
  .option("out", {
    type: "string",
    default: "out/policy.html",
    describe: "Where the page goes",
  })
  .strict()
  .parseSync();

const policies = POLICIES.filter((policy) =>
  options.policy.includes(policy.name)
);
const seedCount = options.quick ? QUICK_SEEDS : options.seeds;
const seeds = Array.from({ length: seedCount }, (_, index) => index + 1);
const reports = WORKLOAD_KINDS.map((kind) => {
  const report = runWorkload(kind, policies);
  process.stdout.write(`${formatWorkloadReport(report, options.brief)}\n`);
  return report;
});
const scaling = options.quick ? [] : policies.map((policy) => {
  const result = measureScaling(policy.name, policy.create);
  process.stdout.write(
    `${policy.name}: ${result.small.toFixed(1)} µs a decision at ` +
      `${result.smallAdapters} adapters, ${result.large.toFixed(1)} µs at ` +
      `${result.largeAdapters}, ratio ${result.ratio.toFixed(2)}\n`,
  );
  return result;
});
mkdirSync(dirname(options.out), { recursive: true });
writeFileSync(options.out, htmlReport(reports, scaling));
process.stdout.write(`Page with plots: ${options.out}\n`);

function runWorkload(
  kind: WorkloadKind,
  chosen: readonly NamedPolicy[],
): WorkloadReport {
  const workloads = seeds.map((seed) => kind.draw(seed));
  const runs = chosen.flatMap(({ name, create }) =>
    workloads.map((workload) =>
      measureRun(workload, { name, policy: create(workload.store) })
    )
  );
  return { name: kind.name, bounds: workloads.map(boundsOf), runs };
}
