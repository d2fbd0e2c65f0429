import Table from "cli-table3";
import type { CompletionOutcome } from "../load/completion_call.ts";
import { DEMO_CLASSES } from "./demo_configuration.ts";
import type { DemoMetrics } from "./demo_metrics.ts";

const OK = 200;

/**
 * Formats the outcomes of a load as a table with a row per class.
 * @param outcomes The outcomes of all requests.
 * @param metrics The metrics that the nodes recorded.
 * @returns The table and a line with the mean batch fill.
 */
export function formatDemoReport(
  outcomes: readonly CompletionOutcome[],
  metrics: DemoMetrics,
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
  for (const demoClass of DEMO_CLASSES) {
    const classOutcomes = outcomes.filter((outcome) =>
      outcome.className === demoClass.name
    );
    const firstTokenTimes = classOutcomes.flatMap((outcome) =>
      outcome.firstTokenMilliseconds ?? []
    )
      .sort((left, right) => left - right);
    const timesWithinTarget = firstTokenTimes.filter((time) =>
      time <= demoClass.firstTokenMilliseconds
    );
    table.push([
      demoClass.name,
      classOutcomes.length,
      classOutcomes.filter((outcome) => outcome.whole).length,
      classOutcomes.filter((outcome) => outcome.status !== OK).length,
      quantile(firstTokenTimes, 0.5).toFixed(0),
      quantile(firstTokenTimes, 0.95).toFixed(0),
      `${
        (100 * timesWithinTarget.length / Math.max(1, classOutcomes.length))
          .toFixed(1)
      }%`,
      (metrics.loadStallSeconds.get(demoClass.name) ?? 0).toFixed(0),
    ]);
  }
  const batchFillLine = `Mean batch fill: ${
    metrics.meanBatchFillPercent.toFixed(1)
  }%.`;
  return `${table.toString()}\n${batchFillLine}`;
}

function quantile(sorted: readonly number[], probability: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(probability * sorted.length),
  );
  return sorted[index] ?? 0;
}
