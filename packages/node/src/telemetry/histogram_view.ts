import {
  type HistogramSummary,
  type HistogramWindow,
  MEASURES,
  type MergedRow,
  sumByClass,
  summariseHistogram,
  TICKS_PER_MILLISECOND,
} from "@foxtailwind/core";
import type { CollectedHistograms, NodeReach } from "./deployment_telemetry.ts";

/** Stands for the sum over all tenants. */
const ALL_TENANTS = "(all)";

/** One class and tenant, as operators get it; times in milliseconds. */
export interface HistogramRowView {
  readonly class: string;
  readonly tenant: string;
  readonly ended: MergedRow["ended"];
  readonly measures: Readonly<Record<string, HistogramSummary>>;
}

/** Merged histograms, as operators get them. */
export interface HistogramsView {
  readonly window: HistogramWindow;
  readonly nodes: readonly NodeReach[];
  /** Histograms that could not be read. */
  readonly damaged: number;
  readonly rows: readonly HistogramRowView[];
  readonly batch_fill: readonly {
    readonly engine: string;
    readonly percent: HistogramSummary;
  }[];
}

/**
 * Sums histograms up for operators.
 * @param collected The histograms of all nodes that answered.
 * @param window Their window.
 * @returns The view; each class begins with the sum over its tenants.
 */
export function viewHistograms(
  collected: CollectedHistograms,
  window: HistogramWindow,
): HistogramsView {
  const { nodes, merged } = collected;
  const { rows } = merged;
  const sums = [...sumByClass(rows).values()]
    .map((row) => viewRow(row, ALL_TENANTS));
  const views = sums.flatMap((sum) => [
    sum,
    ...rows.filter((row) => row.class === sum.class)
      .map((row) => viewRow(row, row.tenant)),
  ]);
  const fills = [...merged.engines].map(([engine, histogram]) => ({
    engine,
    percent: summariseHistogram(histogram, 1),
  }));
  return {
    window,
    nodes,
    damaged: merged.damaged,
    rows: views,
    batch_fill: fills,
  };
}

function viewRow(row: MergedRow, tenant: string): HistogramRowView {
  const measures = MEASURES.flatMap((measure) => {
    const histogram = row.histograms.get(measure);
    if (histogram === undefined) return [];
    return [[measure, summariseHistogram(histogram, TICKS_PER_MILLISECOND)]];
  });
  return {
    class: row.class,
    tenant,
    ended: row.ended,
    measures: Object.fromEntries(measures) as HistogramRowView["measures"],
  };
}
