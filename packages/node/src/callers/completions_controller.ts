import { type Failure, requestId } from "@foxtailwind/core";
import { Body, Controller, Headers, Inject, Post, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { randomUUID } from "node:crypto";
import { DaemonParts } from "../daemon_parts.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  isNotRepeatable,
  NOT_REPEATABLE_HEADER,
} from "../delivery/mod.ts";
import { completionRequestSchema } from "./completion_request.ts";
import {
  StreamingCompletionSink,
  WholeCompletionSink,
} from "./completion_sinks.ts";
import { sendProblem } from "./problem.ts";
import { resolveGeneration } from "./resolve_generation.ts";

/** Serves completions to callers. */
@Controller("v1/chat/completions")
export class CompletionsController {
  readonly #parts: DaemonParts;

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Runs one completion, streamed or whole. */
  @Post()
  complete(
    @Body() body: unknown,
    @Headers("x-foxtailwind-class") className: string | undefined,
    @Headers("x-foxtailwind-tenant") tenant: string | undefined,
    @Headers(IDEMPOTENCY_KEY_HEADER) key: string | undefined,
    @Headers(NOT_REPEATABLE_HEADER) notRepeatable: string | undefined,
    @Res() reply: FastifyReply,
  ): void {
    const request = requestId(randomUUID());
    const parsed = completionRequestSchema.safeParse(body);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const where = issue?.path.join(".") ?? "";
      sendProblem(reply, invalidBody(where, issue?.message ?? ""), request);
      return;
    }
    const generation = resolveGeneration(
      this.#parts.follower.configuration,
      parsed.data,
      {
        request,
        now: this.#parts.clock.now(),
        class: className,
        tenant,
      },
    );
    if (generation.isErr()) {
      sendProblem(reply, generation.error, request);
      return;
    }
    const sink = parsed.data.stream
      ? new StreamingCompletionSink(generation.value, reply)
      : new WholeCompletionSink(generation.value, reply);
    sink.attach(this.#parts.delivery.generations.deliver({
      generation: generation.value,
      streamed: parsed.data.stream,
      key,
      notRepeatable: isNotRepeatable(notRepeatable),
    }, sink));
  }
}

function invalidBody(where: string, message: string): Failure {
  return {
    reason: "invalid",
    step: "parse_request",
    peer: "caller",
    message: `Body does not match at "${where}": ${message}.`,
    outcome: "not_run",
  };
}
