import type {
  HistogramsAnswer,
  HistogramSummaryAnswer,
} from "../commands/histograms.ts";

const BAR_COLUMNS = 40;
const PARTIAL_BLOCKS = ["", "▏", "▎", "▍", "▌", "▋", "▊", "▉"];
const FULL_BLOCK = "█";
const BOUND_COLUMNS = 9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Writes histograms as bars for a terminal.
 * @param answer The histograms.
 * @returns The text.
 */
export function formatHistogramText(answer: HistogramsAnswer): string {
  const rows = answer.rows.flatMap((row) => [
    `${row.class}, tenant ${row.tenant}: since start ` +
    `${row.ended.answered} answered, ${row.ended.refused} refused, ` +
    `${row.ended.failed} failed`,
    ...Object.entries(row.measures).map(([measure, summary]) =>
      formatSummary(measure.replaceAll("_", " "), summary, formatMilliseconds)
    ),
  ]);
  const fills = answer.batch_fill.map(({ engine, percent }) =>
    formatSummary(`batch fill of ${engine}`, percent, formatPercent)
  );
  const body = [...rows, ...fills];
  if (body.length === 0) body.push("Nothing was recorded in this window.");
  return [...body, formatNodes(answer)].join("\n\n");
}

/**
 * Says which nodes are in the figures.
 * @param answer The histograms.
 * @returns One or two sentences.
 */
export function formatNodes(answer: HistogramsAnswer): string {
  const silent = answer.nodes.filter((node) => !node.answered);
  const answered = answer.nodes.length - silent.length;
  const window = answer.window.replaceAll("_", " ");
  const sentence = `Window: ${window}. ` +
    `${answered} of ${answer.nodes.length} nodes answered.`;
  if (silent.length === 0) return sentence;
  const named = silent.map((node) => `${node.node} (${node.reason ?? ""})`);
  return `${sentence} No answer: ${named.join(", ")}.`;
}

/**
 * Writes a time for people.
 * @param time Milliseconds.
 * @returns The text, with its unit.
 */
export function formatMilliseconds(time: number): string {
  if (time < MILLISECONDS_PER_SECOND) return `${Number(time.toFixed(1))} ms`;
  return `${(time / MILLISECONDS_PER_SECOND).toFixed(1)} s`;
}

/**
 * Writes a share for people.
 * @param percent The share in percent.
 * @returns The text.
 */
export function formatPercent(percent: number): string {
  return `${Math.round(percent)} %`;
}

function formatSummary(
  name: string,
  summary: HistogramSummaryAnswer,
  format: (value: number) => string,
): string {
  const figures = ["p50", "p90", "p95", "p99"].map((percentile) =>
    `${percentile} ${format(summary.percentiles[percentile] ?? 0)}`
  );
  const largest = format(summary.percentiles["p100"] ?? 0);
  const head = `  ${name}: ${figures.join("  ")}  max ${largest}  ` +
    `(${summary.count})`;
  const most = Math.max(...summary.buckets.map((bucket) => bucket.count));
  const bars = summary.buckets.map((bucket) =>
    `    ≤ ${format(bucket.upTo).padStart(BOUND_COLUMNS)} ` +
    `${formatBar(bucket.count / most)} ${bucket.count}`
  );
  return [head, ...bars].join("\n");
}

function formatBar(share: number): string {
  const steps = Math.round(share * BAR_COLUMNS * PARTIAL_BLOCKS.length);
  const whole = Math.floor(steps / PARTIAL_BLOCKS.length);
  const rest = PARTIAL_BLOCKS[steps % PARTIAL_BLOCKS.length] ?? "";
  return (FULL_BLOCK.repeat(whole) + rest).padEnd(BAR_COLUMNS);
}
