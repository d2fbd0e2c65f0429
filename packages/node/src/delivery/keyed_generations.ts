import {
  attemptNumber,
  type Failure,
  requestId,
  type RequestObserver,
} from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { GenerationRequest } from "../serving/generation_request.ts";
import type { KeyedExecution, KeyedResult } from "./keyed_execution.ts";
import {
  decodeAnswer,
  decodeGeneration,
  encodeAnswer,
  encodeGeneration,
  type GenerationAnswer,
  unreadableGeneration,
} from "./keyed_generation_message.ts";
import { LiveReader } from "./live_reader.ts";

const HANDLER_NAME = "generation";

/** Starts the only run of a generation. */
export type GenerationRun = (
  generation: GenerationRequest,
  sink: GenerationSink,
) => GenerationHandle;

/** A caller's request with a key. */
export interface KeyedGeneration {
  readonly generation: GenerationRequest;
  readonly key: string;
}

/** Runs generations with keys at most once, and replays their answers. */
export class KeyedGenerations {
  readonly #execution: KeyedExecution;
  readonly #clock: SteadyClock;
  readonly #observer: RequestObserver;
  readonly #startRun: GenerationRun;
  /** Callers here that wait for a key, and may see its tokens as they come. */
  readonly #readers = new Map<string, Set<LiveReader>>();

  /**
   * @param parts Runs keys at most once; the clock; who learns of ends.
   * @param run Starts the only run.
   */
  constructor(
    parts: {
      readonly execution: KeyedExecution;
      readonly clock: SteadyClock;
      readonly observer: RequestObserver;
    },
    run: GenerationRun,
  ) {
    this.#execution = parts.execution;
    this.#clock = parts.clock;
    this.#observer = parts.observer;
    this.#startRun = run;
    this.#execution.register(
      HANDLER_NAME,
      (payload, key) => this.#handle(payload, key),
    );
  }

  /**
   * Delivers a generation with a key.
   * @param keyed The request.
   * @param sink Receives the answer of the key's only run.
   * @returns The handle; a cancel leaves the run going for the caller's retry.
   */
  deliver(keyed: KeyedGeneration, sink: GenerationSink): GenerationHandle {
    const { generation, key } = keyed;
    const reader = new LiveReader(
      generation,
      new EndObserverSink(sink, (result) => {
        this.#recordEnd(generation, result);
      }),
    );
    this.#addReader(key, reader);
    void this.#execution.execute({
      work: HANDLER_NAME,
      key,
      payload: encodeGeneration(generation),
    }).then((result) => {
      this.#removeReader(key, reader);
      reader.end(result.andThen(decodeAnswer));
    });
    return reader;
  }

  /** The run has a request id of its own; each caller's request ends too. */
  #recordEnd(
    generation: GenerationRequest,
    result: Result<GenerationEnd, Failure>,
  ): void {
    this.#observer.record(this.#clock.now(), {
      kind: "ended",
      request: generation.request,
      ...(result.isErr() && { failure: result.error }),
      completionTokens: result.isOk() ? result.value.completionTokens : 0,
    });
  }

  #handle(payload: Uint8Array, key: string): Promise<KeyedResult> {
    const generation = decodeGeneration(payload, {
      request: requestId(randomUUID()),
      arrivedAt: this.#clock.now(),
    });
    if (generation === undefined) {
      return Promise.resolve(err(unreadableGeneration("not_run")));
    }
    return new Promise((resolve) => {
      const sink = new CollectingSink((frame) => {
        for (const reader of this.#readers.get(key) ?? []) {
          reader.forward(frame);
        }
      }, (result) => {
        resolve(result.map(encodeAnswer));
      });
      this.#startRun(generation, sink);
    });
  }

  #addReader(key: string, reader: LiveReader): void {
    const readers = this.#readers.get(key) ?? new Set();
    readers.add(reader);
    this.#readers.set(key, readers);
  }

  #removeReader(key: string, reader: LiveReader): void {
    const readers = this.#readers.get(key);
    readers?.delete(reader);
    if (readers?.size === 0) this.#readers.delete(key);
  }
}

/** Gathers the whole answer, and shows each frame as it comes. */
class CollectingSink extends GenerationSink {
  readonly #onToken: (frame: GenerationFrame) => void;
  readonly #onAnswer: (result: Result<GenerationAnswer, Failure>) => void;
  readonly #tokens: string[] = [];

  constructor(
    onToken: (frame: GenerationFrame) => void,
    onAnswer: (result: Result<GenerationAnswer, Failure>) => void,
  ) {
    super();
    this.#onToken = onToken;
    this.#onAnswer = onAnswer;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#tokens.push(...frame.tokens);
    this.#onToken(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#onAnswer(
      result.map((end) => ({
        tokens: this.#tokens,
        end: { ...end, attempt: attemptNumber(1) },
      })),
    );
  }
}

/** Tells of the end, and passes all on. */
class EndObserverSink extends GenerationSink {
  readonly #sink: GenerationSink;
  readonly #onEnded: (result: Result<GenerationEnd, Failure>) => void;

  constructor(
    sink: GenerationSink,
    ended: (result: Result<GenerationEnd, Failure>) => void,
  ) {
    super();
    this.#sink = sink;
    this.#onEnded = ended;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#onEnded(result);
    this.#sink.onEnd(result);
  }
}
