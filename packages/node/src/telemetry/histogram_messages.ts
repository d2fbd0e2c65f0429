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
 * Reads the name of a window.
 * @param text The name.
 * @returns The window, or nothing where there is none of this name.
 */
export function parseWindow(text: string): HistogramWindow | undefined {
  return HISTOGRAM_WINDOWS.find((window) => window === text);
}

/**
 * Puts a report into a message.
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
 * Reads a report from a message.
 * @param message The message.
 * @returns The report; measures that are not known here are left out.
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
