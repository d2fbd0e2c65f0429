import Table from "cli-table3";
import type { RunResult } from "./run_result.ts";
import { type Spread, spread } from "./summary_statistics.ts";
import {
  policiesOf,
  runsOf,
  stallRatios,
  type WorkloadReport,
} from "./workload_report.ts";

/** The policy that all stalls are compared with. */
export const BASELINE = "least-loaded";

const HEAD = [
  "policy",
  "stall s/1000",
  "of baseline (worst)",
  "interactive stall s/1000",
  "fill %",
  "interactive in target %",
  "refused",
  "loads",
  "evictions",
  "preempted",
  "shift s",
  "µs mean (p99)",
];

const CLASS_HEAD = [
  "policy",
  "class",
  "requests",
  "stall s/1000",
  "p50 s",
  "p95 s",
  "p99 s",
  "in target %",
  "refused",
  "first token p95 s",
];

/**
 * Puts a workload's runs into tables: mean [minimum to maximum] over seeds.
 * @param report The runs.
 * @param brief Whether to leave the classes out.
 * @returns The text.
 */
export function formatWorkloadReport(
  report: WorkloadReport,
  brief: boolean,
): string {
  return [
    "",
    report.name,
    formatBounds(report),
    formatTotals(report),
    ...(brief ? [] : [formatClasses(report)]),
  ].join("\n");
}

/**
 * Gives the rows of the totals.
 * @param report The runs.
 * @returns The head and the rows.
 */
export function totalsRows(
  report: WorkloadReport,
): { readonly head: readonly string[]; readonly rows: readonly string[][] } {
  const rows = policiesOf(report).map((policy) => totalsRow(report, policy));
  return { head: HEAD, rows };
}

/**
 * Gives the rows of the classes.
 * @param report The runs.
 * @returns The head and the rows.
 */
export function classRows(
  report: WorkloadReport,
): { readonly head: readonly string[]; readonly rows: readonly string[][] } {
  const rows = policiesOf(report).flatMap((policy) =>
    classRowsOf(runsOf(report, policy))
  );
  return { head: CLASS_HEAD, rows };
}

/**
 * Describes the bounds of a workload.
 * @param report The runs with their bounds.
 * @returns One line.
 */
export function formatBounds(report: WorkloadReport): string {
  const bounds = report.bounds;
  const text = (values: readonly number[]) => format(spread(values), 1);
  return [
    `Offline: stall of any policy at least ${
      text(bounds.map((bound) => bound.stallSeconds))
    } s`,
    `(interactive ${
      text(bounds.map((bound) => bound.interactiveStallSeconds))
    } s).`,
    `Known future, on demand ${
      text(bounds.map((bound) => bound.onDemand.stallMilliseconds / 1_000))
    } s, ${text(bounds.map((bound) => bound.onDemand.loads))} loads;`,
    `prefetching ${
      text(bounds.map((bound) => bound.prefetching.stallMilliseconds / 1_000))
    } s.`,
  ].join(" ");
}

function formatTotals(report: WorkloadReport): string {
  return formatTable(totalsRows(report));
}

function formatClasses(report: WorkloadReport): string {
  return formatTable(classRows(report));
}

function formatTable(
  { head, rows }: {
    readonly head: readonly string[];
    readonly rows: readonly string[][];
  },
): string {
  const table = new Table({
    head: [...head],
    style: { head: [], border: [], compact: true },
    wordWrap: true,
  });
  table.push(...rows);
  return table.toString();
}

function totalsRow(report: WorkloadReport, policy: string): string[] {
  const runs = runsOf(report, policy);
  const ratios = stallRatios(report, { policy, baseline: BASELINE });
  const over = (value: (run: RunResult) => number) => spread(runs.map(value));
  const [first] = runs;
  return [
    first?.policy ?? "",
    format(over((run) => run.stallPerThousand), 1),
    ratios.length === 0 ? "-" : Math.max(...ratios).toFixed(3),
    format(over((run) => run.interactiveStallPerThousand), 1),
    format(over((run) => 100 * run.batchFill), 1),
    format(over((run) => 100 * run.interactiveAttainment), 1),
    format(over((run) => run.refused), 0),
    format(over((run) => run.loads), 0),
    format(over((run) => run.evictions), 0),
    format(over((run) => run.preemptions), 0),
    formatAbsorption(runs),
    `${over((run) => run.decisionMicroseconds).mean.toFixed(1)} (${
      over((run) => run.decisionP99Microseconds).mean.toFixed(0)
    })`,
  ];
}

function formatAbsorption(runs: readonly RunResult[]): string {
  return runs.map((run) => run.shiftAbsorbedSeconds?.toFixed(0) ?? ">60")
    .join(" ");
}

function classRowsOf(runs: readonly RunResult[]): string[][] {
  const [first] = runs;
  if (first === undefined) return [];
  return first.classes.map((entry, index) => {
    const own = runs.flatMap((run) => run.classes[index] ?? []);
    const over = (value: (result: typeof entry) => number) =>
      spread(own.map(value));
    return [
      first.policy,
      entry.class,
      over((result) => result.requests).mean.toFixed(0),
      format(over((result) => result.stallPerThousand), 1),
      format(over((result) => result.stallP50), 2),
      format(over((result) => result.stallP95), 2),
      format(over((result) => result.stallP99), 2),
      format(over((result) => 100 * result.attainment), 1),
      format(over((result) => result.refused), 0),
      format(over((result) => result.firstTokenP95), 2),
    ];
  });
}

function format(value: Spread, digits: number): string {
  const [mean, minimum, maximum] = [value.mean, value.minimum, value.maximum]
    .map((number) => number.toFixed(digits));
  return minimum === maximum
    ? String(mean)
    : `${mean} [${minimum} to ${maximum}]`;
}
