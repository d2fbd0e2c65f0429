import {
  type MergedRow,
  RECENT_PERIOD,
  type RequestTelemetry,
  sumByClass,
  TICKS_PER_MILLISECOND,
} from "@foxtailwind/core";
import { setImmediate as letOthersRun } from "node:timers/promises";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { MetricsSink } from "../metrics/mod.ts";

const PERCENTILES = [50, 95, 99] as const;

/** Dependencies of {@link TelemetryMetrics}. */
export interface TelemetryMetricsParts {
  readonly requests: RequestTelemetry;
  readonly clock: SteadyClock;
  readonly metrics: MetricsSink;
}

/**
 * Publishes this node's latency percentiles by class as metrics, once per
 * period of the recent window. Tenants are left out to keep dashboards small.
 */
export class TelemetryMetrics {
  readonly #parts: TelemetryMetricsParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: TelemetryMetricsParts) {
    this.#parts = parts;
  }

  /** Publishes periodically until {@link stop}. */
  start(): void {
    this.#timer = setInterval(() => void this.publish(), RECENT_PERIOD);
  }

  /** Stops publishing. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Publishes the current percentiles once. */
  async publish(): Promise<void> {
    const { requests, clock } = this.#parts;
    const rows: MergedRow[] = [];
    for (const row of requests.readRows(clock.now(), "recent")) {
      rows.push(row);
      await letOthersRun();
    }
    for (const sum of sumByClass(rows).values()) this.#publishClass(sum);
  }

  #publishClass(row: MergedRow): void {
    const { metrics } = this.#parts;
    for (const [measure, histogram] of row.histograms) {
      if (histogram.totalCount === 0) continue;
      for (const percentile of PERCENTILES) {
        const ticks = histogram.getValueAtPercentile(percentile);
        metrics.gauge(
          `${measure}.p${percentile}`,
          ticks / TICKS_PER_MILLISECOND,
          { class: row.class },
        );
      }
    }
  }
}
