import type { LoggerFactory } from "../logging/part_logger.ts";
import {
  type MetricsSink,
  SilentMetrics,
  StatsdMetrics,
} from "../metrics/mod.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * Makes the sink for metrics that the settings ask for.
 * @param settings The daemon's settings.
 * @param loggers Where lost metrics are told.
 * @returns The sink; one that drops all where no server is set.
 */
export function makeMetrics(
  settings: Settings,
  loggers: LoggerFactory,
): MetricsSink {
  const { metrics, node } = settings;
  if (metrics.statsd === undefined) return new SilentMetrics();
  return new StatsdMetrics({
    address: metrics.statsd,
    tags: { node: node.id, failure_domain: node.failure_domain },
    logger: loggers.forPart("metrics"),
  });
}
