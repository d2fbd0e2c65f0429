import type { Incident } from "../workloads/workload.ts";
import type { ScalingResult } from "../scaling/decision_scaling.ts";
import { classRows, formatBounds, totalsRows } from "./console_table.ts";
import { linePlot } from "./line_plot.ts";
import { mean } from "./summary_statistics.ts";
import { policiesOf, runsOf, type WorkloadReport } from "./workload_report.ts";

const BUCKET_SECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

const STYLE = "body{font-family:sans-serif;margin:2em}" +
  "table{border-collapse:collapse;font-size:12px;margin:1em 0}" +
  "td,th{border:1px solid #ccc;padding:3px 6px;text-align:right}" +
  "td:first-child,th:first-child{text-align:left}";

/**
 * Puts all runs into one page that needs no other file.
 * @param reports A report for each kind of workload.
 * @param scaling The decision's time at two numbers of adapters.
 * @returns The page.
 */
export function htmlReport(
  reports: readonly WorkloadReport[],
  scaling: readonly ScalingResult[],
): string {
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>Policy measurements</title><style>${STYLE}</style></head><body>`,
    "<h1>Policy measurements</h1>",
    "<p>Virtual time, one deployment, no network. Figures are the mean ",
    "[minimum to maximum] over seeds. A refused request counts as a missed ",
    "target, and its stall as its wait, but no less than its target.</p>",
    ...reports.map(section),
    "<h2>Processor time a decision</h2>",
    ...scaling.map((result) =>
      `<p>${result.policy}: ${result.small.toFixed(1)} µs at ` +
      `${result.smallAdapters} adapters, ${result.large.toFixed(1)} µs at ` +
      `${result.largeAdapters}, a ratio of ${result.ratio.toFixed(2)}.</p>`
    ),
    "</body></html>",
  ].join("\n");
}

function section(report: WorkloadReport): string {
  return [
    `<h2>${report.name}</h2>`,
    `<p>${formatBounds(report)}</p>`,
    stallPlot(report),
    htmlTable(totalsRows(report)),
    htmlTable(classRows(report)),
  ].join("\n");
}

function stallPlot(report: WorkloadReport): string {
  const incidents = report.runs[0]?.workload.incidents ?? [];
  return linePlot({
    title: "Mean load stall of interactive requests, by arrival",
    lines: policiesOf(report).map((policy) => ({
      name: policy,
      values: meanSeries(report, policy),
    })),
    step: BUCKET_SECONDS,
    horizontal: "arrival, seconds",
    vertical: "seconds",
    marks: incidents.map((incident) => ({
      at: incident.at / MILLISECONDS_PER_SECOND,
      name: incidentName(incident),
    })),
  });
}

function meanSeries(
  report: WorkloadReport,
  policy: string,
): readonly number[] {
  const series = runsOf(report, policy).map((run) => run.stallSeries);
  const length = Math.min(...series.map((values) => values.length));
  return Array.from(
    { length },
    (_, index) => mean(series.map((values) => values[index] ?? 0)),
  );
}

function incidentName(incident: Incident): string {
  switch (incident.kind) {
    case "popularity_shift":
      return "popularity shift";
    case "engine_restart":
      return "engine restart";
    case "load_failures":
      return "load failures";
  }
}

function htmlTable(
  { head, rows }: {
    readonly head: readonly string[];
    readonly rows: readonly string[][];
  },
): string {
  const row = (cells: readonly string[], tag: string) =>
    `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join("")}</tr>`;
  return [
    "<table>",
    row(head, "th"),
    ...rows.map((cells) => row(cells, "td")),
    "</table>",
  ].join("\n");
}
