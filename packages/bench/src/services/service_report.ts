import Table from "cli-table3";
import type { ServiceMeasurement } from "./service_measurement.ts";

type MeasurementField = Exclude<
  keyof ServiceMeasurement,
  "scenario" | "policy" | "seed"
>;

const COLUMN_TITLES = [
  "scenario",
  "policy",
  "p50 ms",
  "p99 ms (worst seed)",
  "within target %",
  "errors %",
  "refused %",
  "faulty runs / 1000",
  "runs / call",
];

/**
 * Formats measurements as a table with a row per scenario and policy.
 * @param measurements The measurements of all seeds.
 * @returns The table as text.
 */
export function formatServiceReport(
  measurements: readonly ServiceMeasurement[],
): string {
  const table = new Table({
    head: COLUMN_TITLES,
    style: { head: [], border: [] },
  });
  const groups = new Map<string, ServiceMeasurement[]>();
  for (const measurement of measurements) {
    const key = `${measurement.scenario}/${measurement.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), measurement]);
  }
  for (const group of groups.values()) table.push(formatRow(group));
  return table.toString();
}

function formatRow(group: readonly ServiceMeasurement[]): string[] {
  const worstP99 = Math.max(
    ...group.map((measurement) => measurement.p99Milliseconds),
  );
  return [
    group[0]?.scenario ?? "",
    group[0]?.policy ?? "",
    mean(group, "medianMilliseconds").toFixed(1),
    `${mean(group, "p99Milliseconds").toFixed(1)} (${worstP99.toFixed(1)})`,
    formatPercent(mean(group, "withinTargetShare")),
    formatPercent(mean(group, "errorShare")),
    formatPercent(mean(group, "refusedShare")),
    mean(group, "faultyRunsPerThousandCalls").toFixed(1),
    mean(group, "runsPerCall").toFixed(3),
  ];
}

function mean(
  group: readonly ServiceMeasurement[],
  field: MeasurementField,
): number {
  return group.reduce((sum, measurement) => sum + measurement[field], 0) /
    group.length;
}

function formatPercent(share: number): string {
  return (share * 100).toFixed(3);
}
