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

/** A histogram as text, in HdrHistogram's compressed V2 encoding. */
export type EncodedHistogram = string;

/** The histograms of one class and tenant in a report. */
export interface ReportedRow {
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly ended: EndedCounts;
  readonly histograms: readonly {
    readonly measure: Measure;
    readonly encoded: EncodedHistogram;
  }[];
}

/** The batch fill histogram of one engine in a report. */
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

/** A part of a report, small enough to build or merge without a pause. */
export type ReportPart =
  | { readonly kind: "row"; readonly row: ReportedRow }
  | { readonly kind: "engine"; readonly engine: ReportedEngine };

/**
 * Reports the histograms of a table part by part, so that the caller can let
 * other work run in between: encoding a whole table takes long.
 * @param table The table.
 * @param window The window.
 * @returns The parts; rows and histograms without values are omitted.
 */
export function* reportParts(
  table: HistogramTable,
  window: HistogramWindow,
): Generator<ReportPart> {
  for (const row of [...table.rows()]) {
    const reportedRow = reportRow(row, window);
    const hasData = reportedRow.histograms.length > 0 ||
      hasEndedRequests(reportedRow);
    if (hasData) yield { kind: "row", row: reportedRow };
  }
  for (const [engine, windowed] of [...table.engines]) {
    const histogram = windowed.read(window);
    if (histogram.totalCount === 0) continue;
    const encoded = encodeIntoCompressedBase64(histogram);
    yield { kind: "engine", engine: { engine, encoded } };
  }
}

/**
 * Splits a report into its parts.
 * @param report The report.
 * @returns The parts.
 */
export function* partsOf(report: HistogramReport): Generator<ReportPart> {
  for (const row of report.rows) yield { kind: "row", row };
  for (const engine of report.engines) yield { kind: "engine", engine };
}

/**
 * Assembles a report from its parts.
 * @param parts The parts.
 * @returns The report.
 */
export function joinParts(parts: Iterable<ReportPart>): HistogramReport {
  const rows: ReportedRow[] = [];
  const engines: ReportedEngine[] = [];
  for (const part of parts) {
    if (part.kind === "row") rows.push(part.row);
    else engines.push(part.engine);
  }
  return { rows, engines };
}

/**
 * Decodes a histogram.
 * @param encoded The encoded histogram.
 * @returns The histogram, or undefined if it cannot be decoded.
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

function hasEndedRequests({ ended }: ReportedRow): boolean {
  return ended.answered + ended.failed + ended.refused > 0;
}
