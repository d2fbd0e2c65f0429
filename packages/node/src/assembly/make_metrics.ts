import type { LoggerFactory } from "../logging/component_logger.ts";
import {
  type MetricsSink,
  NoopMetrics,
  StatsdMetrics,
} from "../metrics/mod.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * Creates the metrics sink selected by the settings.
 * @param settings The daemon's settings.
 * @param loggers Log metrics that could not be sent.
 * @returns The sink; it discards all metrics if no server is set.
 */
export function makeMetrics(
  settings: Settings,
  loggers: LoggerFactory,
): MetricsSink {
  const { metrics, node } = settings;
  if (metrics.statsd === undefined) return new NoopMetrics();
  return new StatsdMetrics({
    address: metrics.statsd,
    tags: { node: node.id, failure_domain: node.failure_domain },
    logger: loggers.forComponent("metrics"),
  });
}
