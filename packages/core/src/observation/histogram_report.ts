import {
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";
import type { ClassId, EngineId, TenantId } from "../shared/mod.ts";
import type { EndedCounts, HistogramRow } from "./histogram_row.ts";
import type { HistogramTable } from "./histogram_table.ts";
import type { HistogramWindow, Measure } from "./measure.ts";

const COUNT_BITS = 64;

/** A histogram in the text form of HdrHistogram's version 2 encoding. */
export type EncodedHistogram = string;

/** One class and tenant of a report. */
export interface ReportedRow {
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly ended: EndedCounts;
  readonly histograms: readonly {
    readonly measure: Measure;
    readonly encoded: EncodedHistogram;
  }[];
}

/** One engine of a report. */
export interface ReportedEngine {
  readonly engine: EngineId;
  /** Batch fill in percent. */
  readonly encoded: EncodedHistogram;
}

/** A node's histograms over one window. */
export interface HistogramReport {
  readonly rows: readonly ReportedRow[];
  readonly engines: readonly ReportedEngine[];
}

/**
 * Reports the histograms of a table.
 * @param table The table.
 * @param window Which window.
 * @returns The report; rows and histograms without values are left out.
 */
export function reportHistograms(
  table: HistogramTable,
  window: HistogramWindow,
): HistogramReport {
  const rows = [...table.rows()]
    .map((row) => reportRow(row, window))
    .filter((row) => row.histograms.length > 0 || hasEnds(row));
  const engines = [...table.engines].map(([engine, histogram]) => ({
    engine,
    histogram: histogram.read(window),
  }));
  return {
    rows,
    engines: engines
      .filter(({ histogram }) => histogram.totalCount > 0)
      .map(({ engine, histogram }) => ({
        engine,
        encoded: encodeIntoCompressedBase64(histogram),
      })),
  };
}

/**
 * Reads an encoded histogram.
 * @param encoded The text.
 * @returns The histogram, or nothing where the text is damaged.
 */
export function decodeHistogram(
  encoded: EncodedHistogram,
): Histogram | undefined {
  try {
    return decodeFromCompressedBase64(encoded, COUNT_BITS);
  } catch {
    return undefined;
  }
}

function reportRow(row: HistogramRow, window: HistogramWindow): ReportedRow {
  const histograms = [...row.histograms]
    .map(([measure, histogram]) => ({
      measure,
      histogram: histogram.read(window),
    }))
    .filter(({ histogram }) => histogram.totalCount > 0)
    .map(({ measure, histogram }) => ({
      measure,
      encoded: encodeIntoCompressedBase64(histogram),
    }));
  return {
    class: row.class,
    tenant: row.tenant,
    ended: { ...row.ended },
    histograms,
  };
}

function hasEnds({ ended }: ReportedRow): boolean {
  return ended.answered + ended.failed + ended.refused > 0;
}
