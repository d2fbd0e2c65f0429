import type {
  AdapterReference,
  GenerateCall,
  GenerationEndLine,
  PromptPrefix,
} from "@foxtailwind/edges";
import type { AttemptNumber, RequestId } from "@foxtailwind/core";
import { adapterKey } from "./adapter_key.ts";
import type { GenerationStream } from "./generation_stream.ts";

/** How a new generation starts. */
export interface GenerationStart {
  /** The adapter that really runs. */
  readonly adapter: AdapterReference;
  readonly prefixes: readonly PromptPrefix[];
  readonly totalTokens: number;
  /** Tokens that an imported KV cache already holds. */
  readonly importedTokens: number | undefined;
  readonly arrival: number;
}

/** One generation that the engine holds, running, waiting or finished. */
export class Generation {
  readonly request: RequestId;
  /** The adapter asked for, which is the one in use. */
  readonly asked: AdapterReference;
  /** The adapter that really runs; another one only by a fault. */
  readonly adapter: AdapterReference;
  readonly priority: number;
  readonly arrival: number;
  readonly prefixes: readonly PromptPrefix[];
  readonly totalTokens: number;
  readonly stopsEarly: boolean;
  readonly #tokenStart: string;
  attempt: AttemptNumber;
  generated: number;
  cachedPromptTokens = 0;
  prefilled: boolean;
  /** Its KV cache was exported: it stands still until resumed or cancelled. */
  exported = false;
  ending: GenerationEndLine | undefined;
  endedAt = Infinity;
  stream: GenerationStream | undefined;
  unreadSince: number;

  /**
   * @param call What was asked for.
   * @param start How it starts.
   */
  constructor(call: GenerateCall, start: GenerationStart) {
    this.request = call.request;
    this.attempt = call.attempt;
    this.asked = call.adapter;
    this.adapter = start.adapter;
    this.priority = call.priority;
    this.arrival = start.arrival;
    this.prefixes = start.prefixes;
    this.totalTokens = start.totalTokens;
    this.stopsEarly = start.totalTokens < call.maximumTokens;
    this.generated = start.importedTokens ?? 0;
    this.prefilled = start.importedTokens !== undefined;
    this.unreadSince = start.arrival;
    this.#tokenStart = adapterKey(start.adapter);
  }

  /** The length of the prompt. */
  get promptTokens(): number {
    return this.prefixes.at(-1)?.tokens ?? 0;
  }

  /**
   * Names the adapter and the place in each token's text, so that a reader
   * can prove what ran.
   * @param sequence The token's place.
   * @returns The text.
   */
  tokenText(sequence: number): string {
    return `${this.#tokenStart}#${sequence} `;
  }

  /**
   * Ends the generation.
   * @param ending How.
   * @param now Milliseconds of the engine's clock.
   */
  endWith(ending: GenerationEndLine, now: number): void {
    this.ending = ending;
    this.endedAt = now;
  }

  /**
   * Makes the end of a generation that was not killed.
   * @param finishReason Why it ends.
   * @returns The end.
   */
  regularEnding(
    finishReason: "stop" | "length" | "cancelled",
  ): GenerationEndLine {
    return {
      kind: "end",
      end: {
        request: this.request,
        attempt: this.attempt,
        finishReason,
        promptTokens: this.promptTokens,
        completionTokens: this.generated,
        cachedPromptTokens: this.cachedPromptTokens,
      },
    };
  }
}
