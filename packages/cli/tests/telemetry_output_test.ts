import {
  formatExplanations,
  formatHistogramPage,
  formatHistogramText,
  type HistogramsResponse,
} from "@foxtailwind/cli";
import test from "ava";

const SUMMARY = {
  count: 30,
  mean: 12,
  percentiles: { p50: 10, p90: 1_500, p95: 1_600, p99: 1_700, p100: 1_701 },
  buckets: [
    { upTo: 16, count: 20 },
    { upTo: 32, count: 1 },
    { upTo: 2_048, count: 9 },
  ],
};

const HISTOGRAMS: HistogramsResponse = {
  window: "recent",
  nodes: [
    { node: "node-1", answered: true },
    { node: "node-2", answered: false, reason: "Deadline exceeded" },
  ],
  damaged: 0,
  rows: [{
    class: "drafting",
    tenant: "<all>",
    ended: { answered: 30, failed: 1, refused: 2 },
    measures: { first_token: SUMMARY },
  }],
  batch_fill: [{
    engine: "engine-1",
    percent: { ...SUMMARY, buckets: [{ upTo: 64, count: 30 }] },
  }],
};

test("histograms are drawn as bars, and nodes without an answer are named", (t) => {
  t.snapshot(formatHistogramText(HISTOGRAMS));
});

test("an empty window reports that nothing was recorded", (t) => {
  const text = formatHistogramText({ ...HISTOGRAMS, rows: [], batch_fill: [] });
  t.regex(text, /^Nothing was recorded/);
});

test("the page has no external resources and escapes names", (t) => {
  const page = formatHistogramPage(HISTOGRAMS);
  t.notRegex(page, /(?:src|href)=/);
  t.true(page.includes("tenant &lt;all&gt;"));
});

test("an explanation lists each node's steps", (t) => {
  const explanation = {
    classId: "drafting",
    tenant: "acme",
    adapter: "stain-notes@v1",
    open: false,
    ageMilliseconds: 1_200,
    steps: [
      { afterMilliseconds: 0, kind: "arrived", sentence: "Arrived." },
      { afterMilliseconds: 500.25, kind: "ended", sentence: "Answered." },
    ],
    leftOut: 2,
    frames: 3,
    tokens: 8,
    firstFrameAfterMilliseconds: 100,
    lastFrameAfterMilliseconds: 480,
  };
  t.snapshot(formatExplanations({
    nodes: [{ node: "node-2", answered: false, reason: "gone" }],
    found: [{ node: "node-1", explanation }],
  }));
});
