import {
  assertInvariant,
  attemptNumber,
  type Failure,
} from "@foxtailwind/core";
import type {
  GenerationFrame,
  GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { GenerationRequest } from "../serving/generation_request.ts";
import type { GenerationAnswer } from "./keyed_generation_message.ts";

const FIRST_ATTEMPT = attemptNumber(1);

/** Forwards the answer of a key's only run to one caller, from the start. */
export class LiveReader implements GenerationHandle {
  readonly #generation: GenerationRequest;
  readonly #sink: GenerationSink;
  #forwardedTokens = 0;
  #paused = false;
  #ended = false;

  /**
   * @param generation The caller's request.
   * @param sink The caller's sink.
   */
  constructor(generation: GenerationRequest, sink: GenerationSink) {
    this.#generation = generation;
    this.#sink = sink;
  }

  /** Stops forwarding live tokens; the end delivers the rest. */
  pause(): void {
    this.#paused = true;
  }

  unpause(): void {
    this.#paused = false;
  }

  /** Ends the caller's request at once after it left; the run continues. */
  cancel(): void {
    this.end(err({
      reason: "cancelled",
      step: "cancel",
      peer: "caller",
      message: "The caller left; its request goes on.",
      outcome: "unknown",
    }));
  }

  /**
   * Forwards a frame if it is the next one.
   * @param frame The frame.
   */
  forward(frame: GenerationFrame): void {
    if (
      this.#ended || this.#paused || frame.sequence !== this.#forwardedTokens
    ) return;
    this.#emit(frame.tokens);
  }

  /**
   * Forwards the remaining tokens and ends the answer.
   * @param result The answer.
   */
  end(result: Result<GenerationAnswer, Failure>): void {
    if (this.#ended) return;
    const rest = result.isOk()
      ? result.value.tokens.slice(this.#forwardedTokens)
      : [];
    if (rest.length > 0) this.#emit(rest);
    this.#ended = true;
    const { request } = this.#generation;
    this.#sink.onEnd(result.andThen(({ end }) => {
      assertInvariant(
        this.#forwardedTokens === end.completionTokens,
        "answer_is_whole",
        () =>
          `${this.#forwardedTokens} of ${end.completionTokens} tokens are shown.`,
      );
      return ok({ ...end, request });
    }));
  }

  #emit(tokens: readonly string[]): void {
    const { request, adapter } = this.#generation;
    const sequence = this.#forwardedTokens;
    this.#forwardedTokens += tokens.length;
    this.#sink.onFrame({
      request,
      attempt: FIRST_ATTEMPT,
      sequence,
      tokens,
      adapter,
    });
  }
}
