import {
  type HistogramSummary,
  type HistogramWindow,
  MEASURES,
  type MergedRow,
  sumByClass,
  summariseHistogram,
  TICKS_PER_MILLISECOND,
} from "@foxtailwind/core";
import type {
  CollectedHistograms,
  NodeReachability,
} from "./deployment_telemetry.ts";

/** The tenant label of the sum over all tenants. */
const ALL_TENANTS = "(all)";

/** The row of one class and tenant in the operator API, in milliseconds. */
export interface HistogramRowView {
  readonly class: string;
  readonly tenant: string;
  readonly ended: MergedRow["ended"];
  readonly measures: Readonly<Record<string, HistogramSummary>>;
}

/** Merged histograms in the operator API. */
export interface HistogramsView {
  readonly window: HistogramWindow;
  readonly nodes: readonly NodeReachability[];
  /** The number of histograms that could not be decoded. */
  readonly damaged: number;
  readonly rows: readonly HistogramRowView[];
  readonly batch_fill: readonly {
    readonly engine: string;
    readonly percent: HistogramSummary;
  }[];
}

/**
 * Summarises histograms for the operator API.
 * @param collected The histograms of all nodes that answered.
 * @param window Their window.
 * @returns The view; the sum over a class's tenants precedes their rows.
 */
export function buildHistogramsView(
  collected: CollectedHistograms,
  window: HistogramWindow,
): HistogramsView {
  const { nodes, merged } = collected;
  const { rows } = merged;
  const sums = [...sumByClass(rows).values()]
    .map((row) => buildRowView(row, ALL_TENANTS));
  const views = sums.flatMap((sum) => [
    sum,
    ...rows.filter((row) => row.class === sum.class)
      .map((row) => buildRowView(row, row.tenant)),
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

function buildRowView(row: MergedRow, tenant: string): HistogramRowView {
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
