import { type AdapterReference, type RequestId } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";

/** What the chunks of one streamed answer have in common. */
export interface ChunkCommon {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  /** Seconds since 1970, as the chat API has it. */
  readonly created: number;
  readonly includeUsage: boolean;
}

/** The end of a stream that is whole. */
export const DONE_EVENT = "data: [DONE]\n\n";

/**
 * Writes the events of one streamed answer. All but the text is the same in
 * each chunk and is put together once.
 */
export class ChunkText {
  readonly #start: string;
  readonly #contentStart: string;
  readonly #contentEnd: string;
  readonly #includeUsage: boolean;

  /** @param common What the chunks have in common. */
  constructor(common: ChunkCommon) {
    const head = JSON.stringify({
      id: common.request,
      object: "chat.completion.chunk",
      created: common.created,
      model: nameOf(common.adapter),
    });
    this.#start = `data: ${head.slice(0, -1)},"choices":[`;
    this.#includeUsage = common.includeUsage;
    this.#contentStart = `${this.#start}{"index":0,"delta":{"content":`;
    this.#contentEnd = `},"finish_reason":null}]${this.#tail()}`;
  }

  /** The first event, which names the role. */
  role(): string {
    return `${this.#start}{"index":0,"delta":{"role":"assistant",` +
      `"content":""},"finish_reason":null}]${this.#tail()}`;
  }

  /**
   * Writes an event with a piece of the answer.
   * @param text The piece.
   * @returns The event.
   */
  content(text: string): string {
    return this.#contentStart + JSON.stringify(text) + this.#contentEnd;
  }

  /**
   * Writes the last events of a whole answer.
   * @param end How it ended.
   * @returns The events.
   */
  end(end: GenerationEnd): string {
    const finish = `${this.#start}{"index":0,"delta":{},` +
      `"finish_reason":"${end.finishReason}"}]${this.#tail()}`;
    if (!this.#includeUsage) return finish + DONE_EVENT;
    const usage = JSON.stringify(usageOf(end));
    return `${finish}${this.#start}],"usage":${usage}}\n\n${DONE_EVENT}`;
  }

  #tail(): string {
    return this.#includeUsage ? ',"usage":null}\n\n' : "}\n\n";
  }
}

/**
 * Gives an answer's token counts in the chat API's form.
 * @param end How the generation ended.
 * @returns The counts.
 */
export function usageOf(end: GenerationEnd) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedPromptTokens },
  };
}

/**
 * Names an adapter at a version as callers do.
 * @param adapter The adapter.
 * @returns `adapter@version`.
 */
export function nameOf(adapter: AdapterReference): string {
  return `${adapter.adapter}@${adapter.version}`;
}
