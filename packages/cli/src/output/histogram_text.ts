import type {
  HistogramsResponse,
  HistogramSummary,
} from "../commands/histograms.ts";

const BAR_WIDTH_COLUMNS = 40;
const PARTIAL_BLOCKS = ["", "▏", "▎", "▍", "▌", "▋", "▊", "▉"];
const FULL_BLOCK = "█";
const BOUND_WIDTH_COLUMNS = 9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Formats histograms as bar charts for a terminal.
 * @param response The histograms.
 * @returns The text.
 */
export function formatHistogramText(response: HistogramsResponse): string {
  const rows = response.rows.flatMap((row) => [
    `${row.class}, tenant ${row.tenant}: since start ` +
    `${row.ended.answered} answered, ${row.ended.refused} refused, ` +
    `${row.ended.failed} failed`,
    ...Object.entries(row.measures).map(([measure, summary]) =>
      formatSummary(measure.replaceAll("_", " "), summary, formatMilliseconds)
    ),
  ]);
  const batchFills = response.batch_fill.map(({ engine, percent }) =>
    formatSummary(`batch fill of ${engine}`, percent, formatPercent)
  );
  const body = [...rows, ...batchFills];
  if (body.length === 0) body.push("Nothing was recorded in this window.");
  return [...body, formatNodeCoverage(response)].join("\n\n");
}

/**
 * Describes the time window and which nodes the figures include.
 * @param response The histograms.
 * @returns The text.
 */
export function formatNodeCoverage(response: HistogramsResponse): string {
  const unansweredNodes = response.nodes.filter((node) => !node.answered);
  const answeredCount = response.nodes.length - unansweredNodes.length;
  const window = response.window.replaceAll("_", " ");
  const sentence = `Window: ${window}. ` +
    `${answeredCount} of ${response.nodes.length} nodes answered.`;
  if (unansweredNodes.length === 0) return sentence;
  const nodesWithReasons = unansweredNodes.map((node) =>
    `${node.node} (${node.reason ?? ""})`
  );
  return `${sentence} No answer: ${nodesWithReasons.join(", ")}.`;
}

/**
 * Formats a duration.
 * @param time The duration, in milliseconds.
 * @returns The text, with its unit.
 */
export function formatMilliseconds(time: number): string {
  if (time < MILLISECONDS_PER_SECOND) return `${Number(time.toFixed(1))} ms`;
  return `${(time / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}

/**
 * Formats a percentage.
 * @param percent The percentage.
 * @returns The text, with its unit.
 */
export function formatPercent(percent: number): string {
  return `${Math.round(percent)} %`;
}

function formatSummary(
  name: string,
  summary: HistogramSummary,
  formatValue: (value: number) => string,
): string {
  const percentiles = ["p50", "p90", "p95", "p99"].map((percentile) =>
    `${percentile} ${formatValue(summary.percentiles[percentile] ?? 0)}`
  );
  const maximum = formatValue(summary.percentiles["p100"] ?? 0);
  const heading = `  ${name}: ${percentiles.join("  ")}  max ${maximum}  ` +
    `(${summary.count})`;
  const largestCount = Math.max(
    ...summary.buckets.map((bucket) => bucket.count),
  );
  const bars = summary.buckets.map((bucket) =>
    `    ≤ ${formatValue(bucket.upTo).padStart(BOUND_WIDTH_COLUMNS)} ` +
    `${formatBar(bucket.count / largestCount)} ${bucket.count}`
  );
  return [heading, ...bars].join("\n");
}

function formatBar(share: number): string {
  const eighths = Math.round(share * BAR_WIDTH_COLUMNS * PARTIAL_BLOCKS.length);
  const fullBlocks = Math.floor(eighths / PARTIAL_BLOCKS.length);
  const partialBlock = PARTIAL_BLOCKS[eighths % PARTIAL_BLOCKS.length] ?? "";
  return (FULL_BLOCK.repeat(fullBlocks) + partialBlock).padEnd(
    BAR_WIDTH_COLUMNS,
  );
}
