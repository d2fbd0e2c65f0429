/** What a count is of, besides its name: few values each, never an id. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes counts and values for the operators' dashboards. Never influences a request. */
export abstract class MetricsSink {
  /**
   * Counts one occurrence.
   * @param name What occurred.
   * @param tags What kind of it.
   */
  abstract count(name: string, tags: MetricTags): void;

  /**
   * Tells the present value of something.
   * @param name What it is.
   * @param value The value.
   * @param tags What kind of it.
   */
  abstract gauge(name: string, value: number, tags: MetricTags): void;

  /** Sends what is held and stops. */
  abstract close(): Promise<void>;
}

/** Counts nothing, where the settings name no statsd. */
export class SilentMetrics extends MetricsSink {
  override count(): void {
    // Nobody asked.
  }

  override gauge(): void {
    // Nobody asked.
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
