import type {
  HistogramsResponse,
  HistogramSummary,
} from "../commands/histograms.ts";
import {
  formatMilliseconds,
  formatNodeCoverage,
  formatPercent,
} from "./histogram_text.ts";

const PERCENT = 100;

const STYLE = `
:root { color-scheme: light dark; }
body { font: 1rem/1.45 system-ui, sans-serif; max-width: 72rem;
  margin: 0 auto; padding: 1rem; }
section { display: grid; gap: 1rem;
  grid-template-columns: repeat(auto-fill, minmax(min(100%, 20rem), 1fr)); }
figure { margin: 0; padding: 0.75rem; border-radius: 0.5rem;
  border: 1px solid light-dark(#d0d5da, #3a4148); }
figcaption { font-variant-numeric: tabular-nums; margin-bottom: 0.4rem; }
div.row { display: grid; grid-template-columns: 5rem 1fr 4rem; gap: 0.5rem;
  font-size: 0.85rem; align-items: center; }
div.row span { text-align: right; font-variant-numeric: tabular-nums; }
i { display: block; height: 0.7rem; border-radius: 0.15rem;
  background: light-dark(#2f6f9f, #79b8e3); }
`;

/**
 * Formats histograms as an HTML page without external resources.
 * @param response The histograms.
 * @returns The HTML.
 */
export function formatHistogramPage(response: HistogramsResponse): string {
  const sections = response.rows.map((row) => {
    const title = `${row.class}, tenant ${row.tenant}`;
    const figures = Object.entries(row.measures).map(([measure, summary]) =>
      formatFigure(measure.replaceAll("_", " "), summary, formatMilliseconds)
    );
    return formatSection(title, figures);
  });
  const batchFills = response.batch_fill.map(({ engine, percent }) =>
    formatFigure(engine, percent, formatPercent)
  );
  if (batchFills.length > 0) {
    sections.push(formatSection("Batch fill", batchFills));
  }
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>foxtailwind histograms</title>
<style>${STYLE}</style>
</head>
<body>
<h1>foxtailwind histograms</h1>
<p>${escapeHtml(formatNodeCoverage(response))}</p>
${sections.join("\n")}
</body>
</html>`;
}

function formatSection(title: string, figures: readonly string[]): string {
  return `<h2>${escapeHtml(title)}</h2>\n<section>${
    figures.join("\n")
  }</section>`;
}

function formatFigure(
  name: string,
  summary: HistogramSummary,
  formatValue: (value: number) => string,
): string {
  const median = formatValue(summary.percentiles["p50"] ?? 0);
  const percentile95 = formatValue(summary.percentiles["p95"] ?? 0);
  const largestCount = Math.max(
    ...summary.buckets.map((bucket) => bucket.count),
  );
  const bars = summary.buckets.map((bucket) => {
    const width = (bucket.count / largestCount * PERCENT).toFixed(1);
    return `<div class="row"><span>≤ ${formatValue(bucket.upTo)}</span>` +
      `<i style="width:${width}%"></i><span>${bucket.count}</span></div>`;
  });
  return `<figure><figcaption><b>${escapeHtml(name)}</b><br>` +
    `p50 ${median}, p95 ${percentile95}, ${summary.count} values</figcaption>` +
    `${bars.join("")}</figure>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
