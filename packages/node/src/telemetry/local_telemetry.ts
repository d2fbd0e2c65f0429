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

const CONFIGURE_MILLISECONDS = 1_000;

/** What this node observes, with its clock and its configuration. */
export class LocalTelemetry {
  readonly #parts: DaemonParts;
  readonly #requests: RequestTelemetry;
  readonly #activity: EngineActivitySource;
  #configuredAt: LogOffset | undefined;
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

  /** Follows the configured classes and tenants until {@link stop}. */
  start(): void {
    this.#timer = setInterval(() => {
      this.configure();
    }, CONFIGURE_MILLISECONDS);
  }

  /** Stops following. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Gives the configured classes and tenants to the histograms. */
  configure(): void {
    const { configuration } = this.#parts.follower;
    if (configuration.offset === this.#configuredAt) return;
    this.#configuredAt = configuration.offset;
    this.#requests.configure({
      classes: configuration.classes.keys(),
      tenants: configuration.tenants.keys(),
    });
  }

  /**
   * Reports the histograms of a window.
   * @param window Which.
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
   * @returns What this node saw of it, or nothing.
   */
  explain(request: RequestId): Explanation | undefined {
    return this.#requests.explain(this.#parts.clock.now(), request);
  }

  /**
   * Tells the state of this node.
   * @returns The status.
   */
  status(): telemetry.StatusAnswer {
    return nodeStatus(this.#parts, this.#activity);
  }
}
