import type { Failure } from "@foxtailwind/core";
import type { GenerationEnd } from "@foxtailwind/edges";
import { chatError, sendChatProblem } from "../problem.ts";
import { ChunkEncoder } from "./chunk_encoder.ts";
import {
  CompletionSink,
  type CompletionSinkOptions,
} from "./completion_sink.ts";
import { EventStreamBody } from "./event_stream_body.ts";
import {
  type Flushable,
  type StreamFlusher,
  WRITE_INTERVAL_MILLISECONDS,
} from "./stream_flusher.ts";

/** Writes a completion as server-sent events. */
export class StreamingCompletionSink extends CompletionSink
  implements Flushable {
  readonly #flusher: StreamFlusher;
  readonly #chunks: ChunkEncoder;
  readonly #body: EventStreamBody;
  #pending = "";
  #pendingTokens = 0;
  #started = false;
  #flushScheduled = false;
  #lastWriteAt = Number.NEGATIVE_INFINITY;

  constructor(options: CompletionSinkOptions, flusher: StreamFlusher) {
    super(options);
    this.#flusher = flusher;
    this.#body = new EventStreamBody(options.reply.raw);
    this.#chunks = new ChunkEncoder({
      request: options.generation.request,
      adapter: options.generation.adapter,
      created: this.created,
      includeUsage: options.includeUsage,
    });
  }

  /** Writes the tokens buffered since the last write. */
  flush(): void {
    this.#flushScheduled = false;
    if (this.#pendingTokens === 0 || this.connection.isClosed) return;
    this.#lastWriteAt = performance.now();
    this.connection.write(this.#body.encodePart(this.#takePending()));
  }

  protected override writeTokens(text: string, tokens: number): void {
    this.#pending += text;
    this.#pendingTokens += tokens;
    if (this.#flushScheduled) return;
    const sinceWrite = performance.now() - this.#lastWriteAt;
    if (sinceWrite >= WRITE_INTERVAL_MILLISECONDS) {
      this.flush();
      return;
    }
    this.#flushScheduled = true;
    this.#flusher.add(this);
  }

  protected override writeEnd(end: GenerationEnd): void {
    const start = this.#startIfNeeded();
    const rest = start + this.#takePending();
    this.#body.end(rest + this.#chunks.encodeEnd(end));
  }

  protected override writeFailure(failure: Failure): void {
    const { reply, generation } = this.options;
    if (!this.#started) {
      sendChatProblem(reply, failure, generation.request);
      return;
    }
    const data = { error: chatError(failure, generation.request) };
    const event = `event: error\ndata: ${JSON.stringify(data)}\n\n`;
    this.#body.end(this.#takePending() + event);
  }

  #takePending(): string {
    if (this.#pendingTokens === 0) return "";
    const start = this.#startIfNeeded();
    const event = this.#chunks.encodeContent(this.#pending);
    this.options.onTokens(this.#pendingTokens);
    this.#pending = "";
    this.#pendingTokens = 0;
    return start + event;
  }

  /** Sends the header before the first event. */
  #startIfNeeded(): string {
    if (this.#started) return "";
    this.#started = true;
    const { reply, generation } = this.options;
    reply.hijack();
    const ignored = reply.getHeader("x-foxtailwind-ignored");
    this.#body.start({
      ...(ignored !== undefined && { "x-foxtailwind-ignored": ignored }),
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": generation.request,
    });
    return this.#chunks.encodeRole();
  }
}
