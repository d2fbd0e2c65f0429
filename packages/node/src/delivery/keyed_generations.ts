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

/** Starts the single run of a generation. */
export type GenerationRun = (
  generation: GenerationRequest,
  sink: GenerationSink,
) => GenerationHandle;

/** A caller's request with a key. */
export interface KeyedGeneration {
  readonly generation: GenerationRequest;
  readonly key: string;
}

/** Runs generations with keys at most once and replays their answers. */
export class KeyedGenerations {
  readonly #execution: KeyedExecution;
  readonly #clock: SteadyClock;
  readonly #observer: RequestObserver;
  readonly #startRun: GenerationRun;
  /** Callers of this node that wait for a key and may get its tokens live. */
  readonly #readers = new Map<string, Set<LiveReader>>();

  /**
   * @param parts The keyed execution, the clock and the observer of ends.
   * @param run Starts the single run of a generation.
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
   * @returns The handle. Cancelling it does not stop the run, so that a retry
   * of the caller can still get the answer.
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

  /** Records the end of a caller's request; the run has its own request id. */
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

/** Collects the whole answer and passes on each frame as it arrives. */
class CollectingSink extends GenerationSink {
  readonly #onFrame: (frame: GenerationFrame) => void;
  readonly #onAnswer: (result: Result<GenerationAnswer, Failure>) => void;
  readonly #tokens: string[] = [];

  constructor(
    onFrame: (frame: GenerationFrame) => void,
    onAnswer: (result: Result<GenerationAnswer, Failure>) => void,
  ) {
    super();
    this.#onFrame = onFrame;
    this.#onAnswer = onAnswer;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#tokens.push(...frame.tokens);
    this.#onFrame(frame);
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

/** Passes frames and the end on, and reports the end to a callback. */
class EndObserverSink extends GenerationSink {
  readonly #sink: GenerationSink;
  readonly #onEnded: (result: Result<GenerationEnd, Failure>) => void;

  constructor(
    sink: GenerationSink,
    onEnded: (result: Result<GenerationEnd, Failure>) => void,
  ) {
    super();
    this.#sink = sink;
    this.#onEnded = onEnded;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#onEnded(result);
    this.#sink.onEnd(result);
  }
}
