import { CLOCK_START, later, milliseconds } from "@foxtailwind/core";
import { Controller, Get, Header, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";
import { STATUS_PAGE } from "./status_page.ts";
import { buildStatusView, type StatusView } from "./status_view.ts";

/** How long concurrently polling pages share one collected status. */
const COLLECTION_CACHE_DURATION = milliseconds(2_000);

/** Serves the status page and the data that it polls. */
@Controller()
export class StatusController {
  readonly #parts: DaemonParts;
  #cached: Promise<StatusView> | undefined;
  #cachedUntil = CLOCK_START;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Returns the page. */
  @Get("status")
  @Header("content-type", "text/html; charset=utf-8")
  page(): string {
    return STATUS_PAGE;
  }

  /** Returns the status of all nodes that answer. */
  @Get("v1/operators/status")
  status(): Promise<StatusView> {
    const now = this.#parts.clock.now();
    if (this.#cached === undefined || now >= this.#cachedUntil) {
      this.#cached = this.#collect();
      this.#cachedUntil = later(now, COLLECTION_CACHE_DURATION);
    }
    return this.#cached;
  }

  async #collect(): Promise<StatusView> {
    const { telemetry, follower, settings } = this.#parts;
    const [status, histograms] = await Promise.all([
      telemetry.deployment.status(),
      telemetry.deployment.histograms("recent"),
    ]);
    return buildStatusView({
      asked: settings.node.id,
      configuration: follower.configuration,
      status,
      histograms,
    });
  }
}
