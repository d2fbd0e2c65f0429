import { type Histogram, JsHistogram } from "hdr-histogram-js";
import { assertInvariant } from "../shared/mod.ts";

const PERCENTILES = [50, 75, 90, 95, 99, 100] as const;

/** The number of values above the previous bucket's bound, up to this one. */
export interface HistogramBucket {
  readonly upTo: number;
  readonly count: number;
}

/** A histogram's statistics and its counts in exponential buckets. */
export interface HistogramSummary {
  readonly count: number;
  readonly mean: number;
  /** Values by percentile, such as `p95`; `p100` is the maximum. */
  readonly percentiles: Readonly<Record<string, number>>;
  readonly buckets: readonly HistogramBucket[];
}

/**
 * Summarises a histogram.
 * @param histogram The histogram.
 * @param ticksPerUnit The number of histogram ticks per unit of the summary.
 * @returns The summary, in units.
 */
export function summariseHistogram(
  histogram: Histogram,
  ticksPerUnit: number,
): HistogramSummary {
  const percentiles = PERCENTILES.map((percentile) => [
    `p${percentile}`,
    histogram.getValueAtPercentile(percentile) / ticksPerUnit,
  ]);
  return {
    count: histogram.totalCount,
    mean: Number((histogram.mean / ticksPerUnit).toFixed(2)),
    percentiles: Object.fromEntries(percentiles) as Record<string, number>,
    buckets: exponentialBuckets(histogram, ticksPerUnit),
  };
}

/**
 * Computes the share of the values that lie within a bound.
 * @param histogram The histogram.
 * @param bound The inclusive bound, in the histogram's ticks.
 * @returns The share, from 0 to 1; 1 if there are no values.
 */
export function shareWithin(histogram: Histogram, bound: number): number {
  if (histogram.totalCount === 0) return 1;
  let within = 0;
  for (const { value, count } of recordedCounts(histogram)) {
    if (value <= bound) within += count;
  }
  return within / histogram.totalCount;
}

function exponentialBuckets(
  histogram: Histogram,
  ticksPerUnit: number,
): readonly HistogramBucket[] {
  const buckets: { upTo: number; count: number }[] = [];
  let last: { upTo: number; count: number } | undefined;
  for (const { value, count } of recordedCounts(histogram)) {
    let upTo = last?.upTo ?? 1;
    while (value > upTo * ticksPerUnit) {
      upTo *= 2;
      if (last !== undefined) buckets.push({ upTo, count: 0 });
    }
    last = buckets.at(-1);
    if (last?.upTo !== upTo) {
      last = { upTo, count: 0 };
      buckets.push(last);
    }
    last.count += count;
  }
  return buckets;
}

function* recordedCounts(
  histogram: Histogram,
): Generator<{ readonly value: number; readonly count: number }> {
  assertInvariant(
    histogram instanceof JsHistogram,
    "histograms_are_readable",
    () => "The histogram's type does not support reading by index.",
  );
  for (let index = 0; index < histogram.countsArrayLength; index += 1) {
    const count = histogram.getCountAtIndex(index);
    if (count > 0) yield { value: histogram.valueFromIndex(index), count };
  }
}
