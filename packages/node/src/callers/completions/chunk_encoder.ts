import { type AdapterReference, type RequestId } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";

/** The fields shared by all chunks of one streamed answer. */
export interface ChunkMetadata {
  readonly request: RequestId;
  readonly adapter: AdapterReference;
  /** Unix time in seconds, as in the chat-completions API. */
  readonly created: number;
  readonly includeUsage: boolean;
}

/** The event that ends a complete stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/**
 * Encodes the events of one streamed answer. Everything but the text is the
 * same in each chunk and is encoded once.
 */
export class ChunkEncoder {
  readonly #chunkStart: string;
  readonly #contentStart: string;
  readonly #contentEnd: string;
  readonly #includeUsage: boolean;

  /** @param common The fields shared by all chunks. */
  constructor(common: ChunkMetadata) {
    const head = JSON.stringify({
      id: common.request,
      object: "chat.completion.chunk",
      created: common.created,
      model: formatAdapter(common.adapter),
    });
    this.#chunkStart = `data: ${head.slice(0, -1)},"choices":[`;
    this.#includeUsage = common.includeUsage;
    this.#contentStart = `${this.#chunkStart}{"index":0,"delta":{"content":`;
    this.#contentEnd = `},"finish_reason":null}]${this.#chunkEnd()}`;
  }

  /** @returns The first event, which carries the role. */
  encodeRole(): string {
    return `${this.#chunkStart}{"index":0,"delta":{"role":"assistant",` +
      `"content":""},"finish_reason":null}]${this.#chunkEnd()}`;
  }

  /**
   * Encodes an event with a part of the answer's text.
   * @param text The text.
   * @returns The event.
   */
  encodeContent(text: string): string {
    return this.#contentStart + JSON.stringify(text) + this.#contentEnd;
  }

  /**
   * Encodes the final events of a complete answer.
   * @param end How the generation ended.
   * @returns The events.
   */
  encodeEnd(end: GenerationEnd): string {
    const finish = `${this.#chunkStart}{"index":0,"delta":{},` +
      `"finish_reason":"${end.finishReason}"}]${this.#chunkEnd()}`;
    if (!this.#includeUsage) return finish + DONE_EVENT;
    const usage = JSON.stringify(toUsage(end));
    return `${finish}${this.#chunkStart}],"usage":${usage}}\n\n${DONE_EVENT}`;
  }

  #chunkEnd(): string {
    return this.#includeUsage ? ',"usage":null}\n\n' : "}\n\n";
  }
}

/**
 * Converts token counts to the `usage` object of the chat-completions API.
 * @param end How the generation ended.
 * @returns The counts.
 */
export function toUsage(end: GenerationEnd) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedPromptTokens },
  };
}

/**
 * Formats an adapter version as callers name it.
 * @param adapter The adapter.
 * @returns `adapter@version`.
 */
export function formatAdapter(adapter: AdapterReference): string {
  return `${adapter.adapter}@${adapter.version}`;
}
