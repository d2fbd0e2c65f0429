import { Controller, Get, Header, Inject } from "@nestjs/common";
import { DaemonParts } from "../daemon_parts.ts";
import { STATUS_PAGE } from "./status_page.ts";
import { type StatusView, viewStatus } from "./status_view.ts";

/** Serves the status page and the figures that it polls. */
@Controller()
export class StatusController {
  readonly #parts: DaemonParts;

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
  async status(): Promise<StatusView> {
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
