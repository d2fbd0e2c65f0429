import Table from "cli-table3";
import type { CompletionOutcome } from "../load/completion_call.ts";
import { DEMO_CLASSES } from "./demo_configuration.ts";
import type { DemoMeasures } from "./demo_measures.ts";

const OK = 200;

/**
 * Puts the outcomes of a load into a table, a row a class.
 * @param outcomes The outcomes.
 * @param measures What the nodes measured.
 * @returns The table's text.
 */
export function formatDemoReport(
  outcomes: readonly CompletionOutcome[],
  measures: DemoMeasures,
): string {
  const table = new Table({
    head: [
      "class",
      "requests",
      "whole",
      "refused",
      "first token p50 ms",
      "p95 ms",
      "within target",
      "load stall s/1,000",
    ],
    style: { head: [], border: [] },
  });
  for (const entry of DEMO_CLASSES) {
    const own = outcomes.filter((outcome) => outcome.className === entry.name);
    const times = own.flatMap((outcome) => outcome.firstTokenMilliseconds ?? [])
      .sort((left, right) => left - right);
    const within = times.filter((time) => time <= entry.firstTokenMilliseconds);
    table.push([
      entry.name,
      own.length,
      own.filter((outcome) => outcome.whole).length,
      own.filter((outcome) => outcome.status !== OK).length,
      quantile(times, 0.5).toFixed(0),
      quantile(times, 0.95).toFixed(0),
      `${(100 * within.length / Math.max(1, own.length)).toFixed(1)}%`,
      (measures.stallSeconds.get(entry.name) ?? 0).toFixed(0),
    ]);
  }
  const fill = `Mean batch fill: ${measures.batchFill.toFixed(1)}%.`;
  return `${table.toString()}\n${fill}`;
}

function quantile(sorted: readonly number[], share: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(share * sorted.length),
  );
  return sorted[index] ?? 0;
}
