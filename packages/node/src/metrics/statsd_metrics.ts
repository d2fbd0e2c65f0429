import { StatsD } from "hot-shots";
import type { ComponentLogger } from "../logging/component_logger.ts";
import type { SocketAddress } from "../settings/settings.ts";
import { MetricsSink, type MetricTags } from "./metrics_sink.ts";

/** Options of {@link StatsdMetrics}. */
export interface StatsdMetricsOptions {
  readonly address: SocketAddress;
  /** Tags added to every metric, such as the node's id. */
  readonly tags: MetricTags;
  readonly logger: ComponentLogger;
}

const PREFIX = "foxtailwind.";
/** Fits into one UDP packet on Ethernet. */
const MAXIMUM_PACKET_BYTES = 1_400;
const FLUSH_MILLISECONDS = 1_000;

/** Sends metrics to statsd over UDP, batched into packets. */
export class StatsdMetrics extends MetricsSink {
  readonly #client: StatsD;

  constructor(options: StatsdMetricsOptions) {
    super();
    this.#client = new StatsD({
      host: options.address.host,
      port: options.address.port,
      prefix: PREFIX,
      globalTags: { ...options.tags },
      maxBufferSize: MAXIMUM_PACKET_BYTES,
      bufferFlushInterval: FLUSH_MILLISECONDS,
      errorHandler: (error) => {
        options.logger.warn("Metrics were not sent.", {
          peer: "statsd",
          error: error.message,
        });
      },
    });
  }

  override count(name: string, tags: MetricTags): void {
    this.#client.increment(name, { ...tags });
  }

  override gauge(name: string, value: number, tags: MetricTags): void {
    this.#client.gauge(name, value, { ...tags });
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}
