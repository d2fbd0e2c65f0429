import type {
  AdapterReference,
  GenerateCall,
  GenerationEndLine,
  PromptPrefix,
} from "@foxtailwind/edges";
import type { AttemptNumber, RequestId } from "@foxtailwind/core";
import { adapterKey } from "./adapter_key.ts";
import type { GenerationStream } from "./generation_stream.ts";

/** The initial state of a generation. */
export interface GenerationStart {
  /** The adapter that runs. Only a fault makes it differ from the request. */
  readonly adapter: AdapterReference;
  readonly prefixes: readonly PromptPrefix[];
  readonly totalTokens: number;
  /**
   * The number of generated tokens in the imported KV cache, if there is one.
   */
  readonly importedTokens: number | undefined;
  readonly arrivedAt: number;
}

/** A generation of the engine: running, waiting or ended. */
export class Generation {
  readonly request: RequestId;
  /** The requested adapter. The generation counts as a user of this one. */
  readonly requestedAdapter: AdapterReference;
  /** The adapter that runs. Only a fault makes it differ from the request. */
  readonly adapter: AdapterReference;
  readonly priority: number;
  readonly arrivedAt: number;
  readonly prefixes: readonly PromptPrefix[];
  readonly totalTokens: number;
  readonly stopsEarly: boolean;
  readonly #tokenPrefix: string;
  attempt: AttemptNumber;
  generated: number;
  cachedPromptTokens = 0;
  isPrefilled: boolean;
  /**
   * Whether its KV cache was exported. It is then paused until it is resumed or
   * cancelled.
   */
  isExported = false;
  ending: GenerationEndLine | undefined;
  endedAt = Infinity;
  stream: GenerationStream | undefined;
  withoutReaderSince: number;

  /**
   * @param call The generation request.
   * @param start The initial state.
   */
  constructor(call: GenerateCall, start: GenerationStart) {
    this.request = call.request;
    this.attempt = call.attempt;
    this.requestedAdapter = call.adapter;
    this.adapter = start.adapter;
    this.priority = call.priority;
    this.arrivedAt = start.arrivedAt;
    this.prefixes = start.prefixes;
    this.totalTokens = start.totalTokens;
    this.stopsEarly = start.totalTokens < call.maximumTokens;
    this.generated = start.importedTokens ?? 0;
    this.isPrefilled = start.importedTokens !== undefined;
    this.withoutReaderSince = start.arrivedAt;
    this.#tokenPrefix = adapterKey(start.adapter);
  }

  /** The length of the prompt in tokens. */
  get promptTokens(): number {
    return this.prefixes.at(-1)?.tokens ?? 0;
  }

  /**
   * Formats the text of a token. It contains the adapter and the position, so
   * that a test can check which adapter ran.
   * @param sequence The position of the token.
   * @returns The text.
   */
  tokenText(sequence: number): string {
    return `${this.#tokenPrefix}#${sequence} `;
  }

  /**
   * Ends the generation.
   * @param ending The last line of its stream.
   * @param now A monotonic clock reading in milliseconds.
   */
  endWith(ending: GenerationEndLine, now: number): void {
    this.ending = ending;
    this.endedAt = now;
  }

  /**
   * Creates the last line of a generation that was not killed.
   * @param finishReason The reason of the end.
   * @returns The line.
   */
  createEnding(
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
