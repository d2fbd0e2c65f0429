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

/** A part of a report, small enough to be made or merged at one go. */
export type ReportPart =
  | { readonly kind: "row"; readonly row: ReportedRow }
  | { readonly kind: "engine"; readonly engine: ReportedEngine };

/**
 * Reports the histograms of a table part by part, so that the caller can let
 * other work run in between: encoding a whole table takes long.
 * @param table The table.
 * @param window Which window.
 * @returns The parts; rows and histograms without values are left out.
 */
export function* reportParts(
  table: HistogramTable,
  window: HistogramWindow,
): Generator<ReportPart> {
  for (const row of [...table.rows()]) {
    const reported = reportRow(row, window);
    const filled = reported.histograms.length > 0 || hasEnds(reported);
    if (filled) yield { kind: "row", row: reported };
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
 * Puts parts together.
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
