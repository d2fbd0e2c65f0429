import { type Failure, type RequestId, requestId } from "@foxtailwind/core";
import { Body, Controller, Headers, Inject, Post, Res } from "@nestjs/common";
import type { FastifyReply } from "fastify";
import { randomUUID } from "node:crypto";
import { DaemonParts } from "../../daemon_parts.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  isNotRepeatable,
  NOT_REPEATABLE_HEADER,
} from "../../delivery/mod.ts";
import type { GenerationRequest } from "../../serving/generation_request.ts";
import { sendChatProblem } from "../problem.ts";
import type { CompletionRequest } from "./completion_request.ts";
import type {
  CompletionSink,
  CompletionSinkOptions,
} from "./completion_sink.ts";
import { parseCompletion } from "./parse_completion.ts";
import { resolveGeneration } from "./resolve_generation.ts";
import { StreamFlusher } from "./stream_flusher.ts";
import { StreamingCompletionSink } from "./streaming_sink.ts";
import { BufferedCompletionSink } from "./buffered_sink.ts";

const ROUTE = "completions";

interface CompletionCall {
  readonly body: CompletionRequest;
  readonly reply: FastifyReply;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | undefined;
  readonly notRepeatable: boolean;
}

/** Serves completions to callers. */
@Controller("v1/chat/completions")
export class CompletionsController {
  readonly #parts: DaemonParts;
  readonly #flusher = new StreamFlusher();

  constructor(@Inject(DaemonParts) parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Runs one completion, streamed or buffered. */
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
    const parsed = parseCompletion(body);
    if (parsed.isErr()) {
      this.#refuse(reply, parsed.error, request);
      return;
    }
    const { ignored } = parsed.value;
    const generation = resolveGeneration(
      this.#parts.follower.configuration,
      parsed.value.body,
      { request, now: this.#parts.clock.now(), class: className, tenant },
    );
    if (generation.isErr()) {
      this.#refuse(reply, generation.error, request);
      return;
    }
    if (ignored.length > 0) {
      void reply.header("x-foxtailwind-ignored", ignored.join(", "));
    }
    this.#run(generation.value, {
      body: parsed.value.body,
      reply,
      key,
      notRepeatable: isNotRepeatable(notRepeatable),
    });
  }

  #run(
    generation: GenerationRequest,
    { body, reply, key, notRepeatable }: CompletionCall,
  ): void {
    const { adapter, request, tenant } = generation;
    this.#parts.observer.record(generation.arrivedAt, {
      kind: "arrived",
      request,
      adapter,
      tenant,
      class: generation.class,
    });
    const sink = this.#createSink(body.stream === true, {
      generation,
      reply,
      includeUsage: body.stream_options?.include_usage === true,
      limits: this.#callerLimits(),
      maximumCharacters: this.#parts.settings.limits.answer_bytes,
      onTokens: (tokens) => {
        const now = this.#parts.clock.now();
        this.#parts.observer.record(now, { kind: "frame", request, tokens });
      },
      onOutcome: (outcome) => {
        this.#parts.metrics.count("requests", { route: ROUTE, outcome });
      },
    });
    sink.attach(this.#parts.delivery.generations.deliver({
      generation,
      streamed: body.stream === true,
      key,
      notRepeatable,
    }, sink));
  }

  #createSink(
    streams: boolean,
    options: CompletionSinkOptions,
  ): CompletionSink {
    return streams
      ? new StreamingCompletionSink(options, this.#flusher)
      : new BufferedCompletionSink(options);
  }

  #callerLimits() {
    const { limits } = this.#parts.settings;
    return {
      unreadMilliseconds: limits.unread_milliseconds,
      unreadBytes: limits.unread_bytes,
    };
  }

  #refuse(reply: FastifyReply, failure: Failure, request: RequestId): void {
    const { outcome } = failure;
    this.#parts.metrics.count("requests", { route: ROUTE, outcome });
    sendChatProblem(reply, failure, request);
  }
}
