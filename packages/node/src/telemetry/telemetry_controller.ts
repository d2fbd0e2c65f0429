import { type Failure, requestId } from "@foxtailwind/core";
import { Controller, Get, Inject, Param, Query, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { sendProblem } from "../callers/problem.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { parseWindow } from "./histogram_messages.ts";
import { viewHistograms } from "./histogram_view.ts";

const DEFAULT_WINDOW = "recent";

/** Tells operators what all nodes observe. */
@Controller("v1/operators")
export class TelemetryController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Gives the histograms of all nodes that answer. */
  @Get("histograms")
  async histograms(
    @Query("window") name: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const window = parseWindow(name ?? DEFAULT_WINDOW);
    if (window === undefined) {
      sendProblem(reply, unknownWindow());
      return;
    }
    const collected = await this.#parts.telemetry.deployment.histograms(window);
    await reply.send(viewHistograms(collected, window));
  }

  /** Explains what happened to a recent request, at all nodes it touched. */
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
      sendProblem(reply, noTrace(silent), request);
      return;
    }
    await reply.send(collected);
  }
}

function unknownWindow(): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "operator",
    message: 'The window is "recent" or "since_start".',
    outcome: "not_run",
  };
}

function noTrace(silent: readonly string[]): Failure {
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
