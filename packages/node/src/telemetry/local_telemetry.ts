import {
  type Explanation,
  type HistogramReport,
  type HistogramWindow,
  joinParts,
  type LogOffset,
  type ReportPart,
  type RequestId,
  type RequestTelemetry,
} from "@foxtailwind/core";
import type { telemetry } from "@foxtailwind/protocol";
import { setImmediate as letOthersRun } from "node:timers/promises";
import type { DaemonParts } from "../daemon_parts.ts";
import type { EngineActivitySource } from "./engine_activity.ts";
import { nodeStatus } from "./node_status.ts";

const CONFIGURE_INTERVAL_MILLISECONDS = 1_000;

/** Telemetry of this node, read at the time of its own clock. */
export class LocalTelemetry {
  readonly #parts: DaemonParts;
  readonly #requests: RequestTelemetry;
  readonly #activity: EngineActivitySource;
  #configuredOffset: LogOffset | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    parts: DaemonParts,
    { requests, activity }: {
      readonly requests: RequestTelemetry;
      readonly activity: EngineActivitySource;
    },
  ) {
    this.#parts = parts;
    this.#requests = requests;
    this.#activity = activity;
  }

  /** Polls the configured classes and tenants until {@link stop}. */
  start(): void {
    this.#timer = setInterval(() => {
      this.configure();
    }, CONFIGURE_INTERVAL_MILLISECONDS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Passes the configured classes and tenants to the histograms. */
  configure(): void {
    const { configuration } = this.#parts.follower;
    if (configuration.offset === this.#configuredOffset) return;
    this.#configuredOffset = configuration.offset;
    this.#requests.configure({
      classes: configuration.classes.keys(),
      tenants: configuration.tenants.keys(),
    });
  }

  /**
   * Reports the histograms of a window.
   * @param window The histogram window.
   * @returns The report.
   */
  async report(window: HistogramWindow): Promise<HistogramReport> {
    const parts: ReportPart[] = [];
    const now = this.#parts.clock.now();
    for (const part of this.#requests.reportParts(now, window)) {
      parts.push(part);
      await letOthersRun();
    }
    return joinParts(parts);
  }

  /**
   * Explains a request.
   * @param request The request.
   * @returns This node's explanation, or undefined if it has none.
   */
  explain(request: RequestId): Explanation | undefined {
    return this.#requests.explain(this.#parts.clock.now(), request);
  }

  /**
   * Returns the state of this node.
   * @returns The status.
   */
  status(): telemetry.StatusAnswer {
    return nodeStatus(this.#parts, this.#activity);
  }
}
