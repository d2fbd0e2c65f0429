/** Tags of a metric: each has few distinct values and never holds an id. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives metrics for operators' dashboards. Never affects a request. */
export abstract class MetricsSink {
  /**
   * Increments a counter.
   * @param name The metric's name.
   * @param tags The metric's tags.
   */
  abstract count(name: string, tags: MetricTags): void;

  /**
   * Sets a gauge.
   * @param name The metric's name.
   * @param value The current value.
   * @param tags The metric's tags.
   */
  abstract gauge(name: string, value: number, tags: MetricTags): void;

  /** Sends buffered metrics and closes the sink. */
  abstract close(): Promise<void>;
}

/** Discards all metrics; used if the settings name no statsd server. */
export class NoopMetrics extends MetricsSink {
  override count(): void {
    // Discarded: no statsd server is configured.
  }

  override gauge(): void {
    // Discarded: no statsd server is configured.
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
