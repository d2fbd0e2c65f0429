import { Controller, Get, Inject, Post, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { publishFailure } from "../configuration/publish_failure.ts";
import { DaemonParts } from "../daemon_parts.ts";
import { sendOperatorProblem } from "./operator_problem.ts";

const ACCEPTED = 202;
const OK = 200;

/** Drains this node for operators. */
@Controller("v1/operators/drain")
export class DrainController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Starts the drain. */
  @Post()
  async start(@Res() reply: FastifyReply): Promise<void> {
    this.#parts.drainHook?.start();
    await this.#answer(reply, ACCEPTED);
  }

  /** Tells how far the drain is. */
  @Get()
  async progress(@Res() reply: FastifyReply): Promise<void> {
    await this.#answer(reply, OK);
  }

  async #answer(reply: FastifyReply, status: number): Promise<void> {
    const progress = this.#parts.drainHook?.progress();
    if (progress === undefined) {
      await sendOperatorProblem(
        reply,
        publishFailure("unavailable", {
          message: "This release cannot drain a node.",
          remedy: "Stop the process with SIGTERM: it finishes its requests.",
        }),
      );
      return;
    }
    await reply.status(status).send({
      node: this.#parts.settings.node.id,
      state: progress.state,
      in_progress: progress.inProgress,
    });
  }
}
