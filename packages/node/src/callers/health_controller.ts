import { Controller, Get, Inject, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { DaemonParts } from "../daemon_parts.ts";

const SERVICE_UNAVAILABLE = 503;
const OK = 200;

/** Serves the liveness and readiness checks. */
@Controller()
export class HealthController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Liveness: succeeds while the process runs. */
  @Get("healthz")
  health() {
    return { status: "live" };
  }

  /** Readiness: succeeds while the node accepts new work. */
  @Get("readyz")
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const status = this.#status();
    await reply.status(status === "ready" ? OK : SERVICE_UNAVAILABLE)
      .send({ status });
  }

  #status(): "ready" | "starting" | "leaving" {
    const { directory, drain, follower } = this.#parts;
    if (drain.isLeaving) return "leaving";
    const knows = directory.vms.length > 0 && follower.caughtUp;
    return knows ? "ready" : "starting";
  }
}
