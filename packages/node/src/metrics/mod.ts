export * from "./metrics_sink.ts";
export * from "./statsd_metrics.ts";
