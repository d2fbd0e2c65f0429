import type { Histogram } from "hdr-histogram-js";
import type { ClassId, EngineId, TenantId } from "../shared/mod.ts";
import {
  decodeHistogram,
  type EncodedHistogram,
  type HistogramReport,
  partsOf,
  type ReportedRow,
  type ReportPart,
} from "./histogram_report.ts";
import type { EndedCounts } from "./histogram_row.ts";
import type { Measure } from "./measure.ts";
import { emptyHistogram } from "./windowed_histogram.ts";

/** The histograms of a class and tenant, merged over all reporting nodes. */
export interface MergedRow {
  readonly class: ClassId;
  readonly tenant: TenantId;
  readonly ended: EndedCounts;
  readonly histograms: ReadonlyMap<Measure, Histogram>;
}

interface MutableMergedRow extends MergedRow {
  ended: EndedCounts;
  readonly histograms: Map<Measure, Histogram>;
}

/** Merges the histogram reports of several nodes. */
export class MergedHistograms {
  readonly #rows = new Map<string, MutableMergedRow>();
  readonly #engines = new Map<EngineId, Histogram>();
  #damaged = 0;

  /** The number of histograms that could not be decoded. */
  get damaged(): number {
    return this.#damaged;
  }

  /** The rows, ordered by class and tenant. */
  get rows(): readonly MergedRow[] {
    return [...this.#rows]
      .sort(([left], [right]) => left < right ? -1 : 1)
      .map(([, row]) => row);
  }

  /** Batch fill by engine, in percent. */
  get engines(): ReadonlyMap<EngineId, Histogram> {
    return this.#engines;
  }

  /**
   * Adds a node's report.
   * @param report The report.
   */
  add(report: HistogramReport): void {
    for (const part of partsOf(report)) this.addPart(part);
  }

  /**
   * Adds a part of a node's report.
   * @param part The part.
   */
  addPart(part: ReportPart): void {
    if (part.kind === "row") {
      this.#addRow(part.row);
      return;
    }
    const { engine, encoded } = part.engine;
    this.#addEncoded(this.#engines, engine, encoded);
  }

  #addRow(row: ReportedRow): void {
    const key = `${row.class}/${row.tenant}`;
    const merged = this.#rows.get(key) ?? emptyRow(row);
    this.#rows.set(key, merged);
    merged.ended = addEnded(merged.ended, row.ended);
    for (const { measure, encoded } of row.histograms) {
      this.#addEncoded(merged.histograms, measure, encoded);
    }
  }

  #addEncoded<Key>(
    histograms: Map<Key, Histogram>,
    key: Key,
    encoded: EncodedHistogram,
  ): void {
    const decoded = decodeHistogram(encoded);
    if (decoded === undefined) {
      this.#damaged += 1;
      return;
    }
    const sum = histograms.get(key) ?? emptyHistogram();
    sum.add(decoded);
    histograms.set(key, sum);
  }
}

/**
 * Merges the rows of each class over its tenants.
 * @param rows The rows.
 * @returns One row for each class, with one histogram for each measure.
 */
export function sumByClass(
  rows: readonly MergedRow[],
): ReadonlyMap<ClassId, MergedRow> {
  const sums = new Map<ClassId, MutableMergedRow>();
  for (const row of rows) {
    const sum = sums.get(row.class) ?? emptyRow(row);
    sums.set(row.class, sum);
    sum.ended = addEnded(sum.ended, row.ended);
    for (const [measure, histogram] of row.histograms) {
      const total = sum.histograms.get(measure) ?? emptyHistogram();
      total.add(histogram);
      sum.histograms.set(measure, total);
    }
  }
  return sums;
}

function emptyRow(
  { class: className, tenant }: Pick<MergedRow, "class" | "tenant">,
): MutableMergedRow {
  return {
    class: className,
    tenant,
    ended: { answered: 0, failed: 0, refused: 0 },
    histograms: new Map(),
  };
}

function addEnded(left: EndedCounts, right: EndedCounts): EndedCounts {
  return {
    answered: left.answered + right.answered,
    failed: left.failed + right.failed,
    refused: left.refused + right.refused,
  };
}
