/** The durations measured for requests. */
export const MEASURES = [
  "first_token",
  "between_tokens",
  "whole_answer",
  "queue_wait",
  "load_stall",
] as const;

/** A duration measured for requests. */
export type Measure = (typeof MEASURES)[number];

/** The time windows that histograms are kept for. */
export const HISTOGRAM_WINDOWS = ["recent", "since_start"] as const;

/** The last one to two minutes, or the time since the process started. */
export type HistogramWindow = (typeof HISTOGRAM_WINDOWS)[number];
