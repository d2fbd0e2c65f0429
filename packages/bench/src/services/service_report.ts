import Table from "cli-table3";
import type { ServiceFigures } from "./measure_services.ts";

type Figure = Exclude<keyof ServiceFigures, "scenario" | "policy" | "seed">;

const HEAD = [
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
 * Puts figures into a table, a row for each scenario and policy.
 * @param figures The figures of all seeds.
 * @returns The table's text.
 */
export function formatServiceReport(
  figures: readonly ServiceFigures[],
): string {
  const table = new Table({ head: HEAD, style: { head: [], border: [] } });
  const groups = new Map<string, ServiceFigures[]>();
  for (const one of figures) {
    const key = `${one.scenario}/${one.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), one]);
  }
  for (const group of groups.values()) table.push(rowOf(group));
  return table.toString();
}

function rowOf(group: readonly ServiceFigures[]): string[] {
  const worst = Math.max(...group.map((one) => one.p99Milliseconds));
  return [
    group[0]?.scenario ?? "",
    group[0]?.policy ?? "",
    mean(group, "medianMilliseconds").toFixed(1),
    `${mean(group, "p99Milliseconds").toFixed(1)} (${worst.toFixed(1)})`,
    percent(mean(group, "withinTarget")),
    percent(mean(group, "errors")),
    percent(mean(group, "refused")),
    mean(group, "faultyRuns").toFixed(1),
    mean(group, "runsEach").toFixed(3),
  ];
}

function mean(group: readonly ServiceFigures[], name: Figure): number {
  return group.reduce((sum, one) => sum + one[name], 0) / group.length;
}

function percent(share: number): string {
  return (share * 100).toFixed(3);
}
