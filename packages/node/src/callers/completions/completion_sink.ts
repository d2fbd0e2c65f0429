import { type Failure, sameAdapter } from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import type { FastifyReply } from "fastify";
import { err, ok, type Result } from "neverthrow";
import type { GenerationRequest } from "../../serving/generation_request.ts";
import { CallerConnection, type CallerLimits } from "./caller_connection.ts";
import { formatAdapter } from "./chunk_encoder.ts";

/** How a response ended, for the request metric. */
export type AnswerOutcome = "whole" | "left" | "cut" | Failure["outcome"];

/** Options of a {@link CompletionSink}. */
export interface CompletionSinkOptions {
  readonly generation: GenerationRequest;
  readonly reply: FastifyReply;
  readonly includeUsage: boolean;
  readonly limits: CallerLimits;
  /** The maximum length of the answer, in characters. */
  readonly maximumCharacters: number;
  /** Called for each part written to the caller. */
  readonly onTokens: (tokens: number) => void;
  /** Called once, when the response has ended. */
  readonly onOutcome: (outcome: AnswerOutcome) => void;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Forwards only frames of its own request and adapter, in sequence, and checks
 * that the answer is complete.
 */
export abstract class CompletionSink extends GenerationSink {
  protected readonly options: CompletionSinkOptions;
  protected readonly connection: CallerConnection;
  protected readonly created: number;
  #sequence = 0;
  #characters = 0;
  #ended = false;

  constructor(options: CompletionSinkOptions) {
    super();
    this.options = options;
    this.created = Math.floor(Date.now() / MILLISECONDS_PER_SECOND);
    this.connection = new CallerConnection(options.reply.raw, {
      limits: options.limits,
      onLost: (why) => {
        this.#ended = true;
        options.onOutcome(why);
      },
    });
  }

  /** Attaches the handle of the sink's generation. */
  attach(handle: GenerationHandle): void {
    this.connection.attach(handle);
  }

  override onFrame(frame: GenerationFrame): void {
    const { generation, maximumCharacters } = this.options;
    if (this.#ended || frame.request !== generation.request) return;
    if (frame.sequence !== this.#sequence) return;
    if (!sameAdapter(frame.adapter, generation.adapter)) {
      this.#fail("mismatch", `The engine ran ${formatAdapter(frame.adapter)}.`);
      return;
    }
    const { tokens } = frame;
    const text = tokens.length === 1 ? tokens[0] ?? "" : tokens.join("");
    this.#sequence += tokens.length;
    this.#characters += text.length;
    if (this.#characters > maximumCharacters) {
      this.#fail("refused", `The answer passes ${maximumCharacters} bytes.`);
      return;
    }
    this.writeTokens(text, tokens.length);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    if (this.#ended) return;
    this.#ended = true;
    this.connection.finish();
    const checked = result.andThen((end) => this.#checkComplete(end));
    this.options.onOutcome(
      checked.match(() => "whole", (failure) => failure.outcome),
    );
    if (checked.isOk()) this.writeEnd(checked.value);
    else this.writeFailure(checked.error);
  }

  protected abstract writeTokens(text: string, tokens: number): void;
  protected abstract writeEnd(end: GenerationEnd): void;
  protected abstract writeFailure(failure: Failure): void;

  /** Ends the response without waiting for the engine to end. */
  #fail(reason: Failure["reason"], message: string): void {
    this.onEnd(err(generationFailure(reason, message)));
    this.connection.cancel();
  }

  #checkComplete(end: GenerationEnd): Result<GenerationEnd, Failure> {
    if (end.finishReason === "cancelled") {
      return err(
        generationFailure("cancelled", "The generation was cancelled."),
      );
    }
    if (end.completionTokens !== this.#sequence) {
      const counts = `${this.#sequence} of ${end.completionTokens} tokens`;
      return err(
        generationFailure("corrupt", `Only ${counts} arrived in order.`),
      );
    }
    return ok(end);
  }
}

function generationFailure(
  reason: Failure["reason"],
  message: string,
): Failure {
  return { reason, step: "generate", peer: "engine", message, outcome: "ran" };
}
