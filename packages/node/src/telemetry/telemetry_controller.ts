import { type Failure, requestId } from "@foxtailwind/core";
import { Controller, Get, Inject, Param, Query, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { sendProblem } from "../callers/problem.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { parseWindow } from "./histogram_messages.ts";
import { buildHistogramsView } from "./histogram_view.ts";

const DEFAULT_WINDOW = "recent";

/** Serves telemetry collected from all nodes to operators. */
@Controller("v1/operators")
export class TelemetryController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Returns the histograms of all nodes that answer. */
  @Get("histograms")
  async histograms(
    @Query("window") name: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const window = parseWindow(name ?? DEFAULT_WINDOW);
    if (window === undefined) {
      sendProblem(reply, unknownWindowFailure());
      return;
    }
    const collected = await this.#parts.telemetry.deployment.histograms(window);
    await reply.send(buildHistogramsView(collected, window));
  }

  /** Explains a recent request from the traces of all nodes. */
  @Get("explanations/:request")
  async explain(
    @Param("request") request: string,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const collected = await this.#parts.telemetry.deployment.explain(
      requestId(request),
    );
    if (collected.found.length === 0) {
      const silent = collected.nodes.filter((node) => !node.answered)
        .map((node) => node.node);
      sendProblem(reply, traceNotFoundFailure(silent), request);
      return;
    }
    await reply.send(collected);
  }
}

function unknownWindowFailure(): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "operator",
    message: 'The window is "recent" or "since_start".',
    outcome: "not_run",
  };
}

function traceNotFoundFailure(silent: readonly string[]): Failure {
  const missing = silent.length === 0
    ? "All nodes answered."
    : `No answer came from: ${silent.join(", ")}.`;
  return {
    reason: "not_found",
    step: "parse_request",
    peer: "operator",
    message: `No node keeps a trace of this request. ${missing}`,
    outcome: "not_run",
  };
}
