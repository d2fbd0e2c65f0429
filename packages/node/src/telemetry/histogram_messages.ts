import {
  classId,
  engineId,
  HISTOGRAM_WINDOWS,
  type HistogramReport,
  type HistogramWindow,
  type Measure,
  MEASURES,
  type ReportedRow,
  tenantId,
} from "@foxtailwind/core";
import type { telemetry } from "@foxtailwind/protocol";

/**
 * Parses a histogram window name.
 * @param text The name.
 * @returns The window, or undefined if the name is unknown.
 */
export function parseWindow(text: string): HistogramWindow | undefined {
  return HISTOGRAM_WINDOWS.find((window) => window === text);
}

/**
 * Converts a report to its gRPC message.
 * @param report The report.
 * @returns The message.
 */
export function toHistogramsAnswer(
  report: HistogramReport,
): telemetry.HistogramsAnswer {
  return {
    rows: report.rows.map((row) => ({
      classId: row.class,
      tenant: row.tenant,
      ...row.ended,
      histograms: [...row.histograms],
    })),
    engines: [...report.engines],
  };
}

/**
 * Converts a gRPC message to a report.
 * @param message The message.
 * @returns The report, without measures that this node does not know.
 */
export function fromHistogramsAnswer(
  message: telemetry.HistogramsAnswer,
): HistogramReport {
  return {
    rows: message.rows.map(fromRow),
    engines: message.engines.map(({ engine, encoded }) => ({
      engine: engineId(engine),
      encoded,
    })),
  };
}

function fromRow(row: telemetry.HistogramRow): ReportedRow {
  const { answered, failed, refused } = row;
  return {
    class: classId(row.classId),
    tenant: tenantId(row.tenant),
    ended: { answered, failed, refused },
    histograms: row.histograms.flatMap(({ measure, encoded }) => {
      const known = parseMeasure(measure);
      return known === undefined ? [] : [{ measure: known, encoded }];
    }),
  };
}

function parseMeasure(text: string): Measure | undefined {
  return MEASURES.find((measure) => measure === text);
}
