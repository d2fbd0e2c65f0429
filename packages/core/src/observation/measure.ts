/** What is timed of requests. */
export const MEASURES = [
  "first_token",
  "between_tokens",
  "whole_answer",
  "queue_wait",
  "load_stall",
] as const;

/** One of the times that are kept of requests. */
export type Measure = (typeof MEASURES)[number];

/** The spans of time that histograms are kept for. */
export const HISTOGRAM_WINDOWS = ["recent", "since_start"] as const;

/** The last one to two minutes, or the time since the process started. */
export type HistogramWindow = (typeof HISTOGRAM_WINDOWS)[number];
