import { CLOCK_START, later, milliseconds } from "@foxtailwind/core";
import { Controller, Get, Header, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";
import { STATUS_PAGE } from "./status_page.ts";
import { type StatusView, viewStatus } from "./status_view.ts";

/** How long pages that poll at the same time share one collection. */
const SHARED_FOR = milliseconds(2_000);

/** Serves the status page and the figures that it polls. */
@Controller()
export class StatusController {
  readonly #parts: DaemonParts;
  #shared: Promise<StatusView> | undefined;
  #sharedUntil = CLOCK_START;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Gives the page. */
  @Get("status")
  @Header("content-type", "text/html; charset=utf-8")
  page(): string {
    return STATUS_PAGE;
  }

  /** Gives the status of all nodes that answer. */
  @Get("v1/operators/status")
  status(): Promise<StatusView> {
    const now = this.#parts.clock.now();
    if (this.#shared === undefined || now >= this.#sharedUntil) {
      this.#shared = this.#collect();
      this.#sharedUntil = later(now, SHARED_FOR);
    }
    return this.#shared;
  }

  async #collect(): Promise<StatusView> {
    const { telemetry, follower, settings } = this.#parts;
    const [status, histograms] = await Promise.all([
      telemetry.deployment.status(),
      telemetry.deployment.histograms("recent"),
    ]);
    return viewStatus({
      asked: settings.node.id,
      configuration: follower.configuration,
      status,
      histograms,
    });
  }
}
