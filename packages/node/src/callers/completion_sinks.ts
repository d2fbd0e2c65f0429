import {
  type AdapterReference,
  type Failure,
  sameAdapter,
} from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import type { FastifyReply } from "fastify";
import { err, type Result } from "neverthrow";
import type { GenerationRequest } from "../serving/generation_request.ts";
import { sendProblem, toProblem } from "./problem.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const OK = 200;

/** Passes on only the frames of its own request, in order, and whole. */
abstract class CompletionSink extends GenerationSink {
  protected readonly generation: GenerationRequest;
  protected readonly reply: FastifyReply;
  protected readonly created: number;
  protected sequence = 0;
  #ended = false;
  #handle: GenerationHandle | undefined;

  constructor(generation: GenerationRequest, reply: FastifyReply) {
    super();
    this.generation = generation;
    this.reply = reply;
    this.created = Math.floor(Date.now() / MILLISECONDS_PER_SECOND);
  }

  /** Gives the sink the handle of its generation. */
  attach(handle: GenerationHandle): void {
    this.#handle = handle;
    this.reply.raw.on("close", () => {
      if (!this.#ended) handle.cancel();
    });
  }

  override onFrame(frame: GenerationFrame): void {
    if (this.#ended) return;
    if (frame.request !== this.generation.request) return;
    if (frame.sequence !== this.sequence) return;
    if (!sameAdapter(frame.adapter, this.generation.adapter)) {
      this.#handle?.cancel();
      this.onEnd(err(mismatch(frame.adapter)));
      return;
    }
    this.sequence += frame.tokens.length;
    const accepted = this.writeTokens(frame.tokens);
    if (!accepted) this.#waitForCaller();
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.reply.raw.destroyed) return;
    result.match((end) => {
      this.writeEnd(end);
    }, (failure) => {
      this.writeFailure(failure);
    });
  }

  protected abstract writeTokens(tokens: readonly string[]): boolean;
  protected abstract writeEnd(end: GenerationEnd): void;
  protected abstract writeFailure(failure: Failure): void;

  #waitForCaller(): void {
    this.#handle?.pause();
    this.reply.raw.once("drain", () => this.#handle?.unpause());
  }
}

/** Writes an answer as server-sent events. */
export class StreamingCompletionSink extends CompletionSink {
  #started = false;

  protected override writeTokens(tokens: readonly string[]): boolean {
    this.#start();
    return this.#write({ content: tokens.join("") }, null);
  }

  protected override writeEnd(end: GenerationEnd): void {
    this.#start();
    this.#write({}, end.finishReason);
    this.reply.raw.end("data: [DONE]\n\n");
  }

  protected override writeFailure(failure: Failure): void {
    if (!this.#started) {
      sendProblem(this.reply, failure, this.generation.request);
      return;
    }
    const problem = toProblem(failure, this.generation.request);
    this.reply.raw.end(
      `event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`,
    );
  }

  #start(): void {
    if (this.#started) return;
    this.#started = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": this.generation.request,
    });
  }

  #write(delta: { readonly content?: string }, finish: string | null): boolean {
    const chunk = {
      id: this.generation.request,
      object: "chat.completion.chunk",
      created: this.created,
      model: nameOf(this.generation.adapter),
      choices: [{ index: 0, delta, finish_reason: finish }],
    };
    return this.reply.raw.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}

/** Collects an answer and writes it whole. */
export class WholeCompletionSink extends CompletionSink {
  readonly #parts: string[] = [];

  protected override writeTokens(tokens: readonly string[]): boolean {
    this.#parts.push(...tokens);
    return true;
  }

  protected override writeEnd(end: GenerationEnd): void {
    void this.reply.status(OK).header("x-request-id", this.generation.request)
      .send({
        id: this.generation.request,
        object: "chat.completion",
        created: this.created,
        model: nameOf(this.generation.adapter),
        choices: [{
          index: 0,
          message: { role: "assistant", content: this.#parts.join("") },
          finish_reason: end.finishReason,
        }],
        usage: {
          prompt_tokens: end.promptTokens,
          completion_tokens: end.completionTokens,
          total_tokens: end.promptTokens + end.completionTokens,
        },
      });
  }

  protected override writeFailure(failure: Failure): void {
    sendProblem(this.reply, failure, this.generation.request);
  }
}

function nameOf(adapter: AdapterReference): string {
  return `${adapter.adapter}@${adapter.version}`;
}

function mismatch(ran: AdapterReference): Failure {
  return {
    reason: "mismatch",
    step: "generate",
    peer: "engine",
    message: `The engine ran ${nameOf(ran)} instead.`,
    outcome: "ran",
  };
}
