import {
  type Failure,
  type FailureReason,
  type FailureStep,
  InvariantViolation,
  type RunOutcome,
} from "@foxtailwind/core";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import type {
  GenerateCall,
  GenerationEnd,
  GenerationHandle,
  GenerationSink,
} from "../engine_client.ts";
import type { HttpClientOptions } from "./client_options.ts";
import { FrameReader } from "./frame_reader.ts";
import { isGenerationFrame, parseEndLine } from "./generation_line.ts";
import { LineSplitter, LineTooLongError } from "./line_splitter.ts";
import { failureFromResponse } from "./reported_failure.ts";
import { failureFromTransportError } from "./transport_error.ts";

/** Options of a generation over HTTP. */
export interface GenerationExchangeOptions {
  readonly client: HttpClientOptions;
  /** The stream fails if no byte arrives for this long. */
  readonly idleTimeoutMilliseconds: number;
  /** Asks the engine to cancel; resolves once the call to it has ended. */
  readonly askToCancel: () => Promise<unknown>;
  /** How long the stream may continue after `askToCancel` has resolved. */
  readonly cancelGraceMilliseconds: number;
}

const MAXIMUM_LINE_BYTES = 4 * 1024 * 1024;
const MAXIMUM_ERROR_BODY_LENGTH = 64 * 1024;
const STATUS_OK = 200;
const JSON_HEADERS = { "content-type": "application/json" } as const;

/**
 * Runs one generation and reads its lines as they arrive, in callbacks instead
 * of promises.
 */
export class GenerationExchange
  implements Dispatcher.DispatchHandler, GenerationHandle {
  readonly #call: GenerateCall;
  readonly #sink: GenerationSink;
  readonly #options: GenerationExchangeOptions;
  readonly #frameReader = new FrameReader();
  readonly #lineSplitter = new LineSplitter((line) => {
    this.#onLine(line);
  }, MAXIMUM_LINE_BYTES);
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #errorBody = "";
  #isPaused = false;
  #isCancelled = false;
  #hasEnded = false;

  /**
   * @param call The request for generation.
   * @param sink Receives the frames and the end.
   * @param options The engine's connection and the limits.
   */
  constructor(
    call: GenerateCall,
    sink: GenerationSink,
    options: GenerationExchangeOptions,
  ) {
    this.#call = call;
    this.#sink = sink;
    this.#options = options;
  }

  /** Sends the request. */
  start(): void {
    const { client, idleTimeoutMilliseconds } = this.#options;
    client.dispatcher.dispatch({
      origin: client.baseAddress,
      method: "POST",
      path: "/v1/generate",
      headers: JSON_HEADERS,
      body: JSON.stringify(this.#call),
      headersTimeout: idleTimeoutMilliseconds,
      bodyTimeout: idleTimeoutMilliseconds,
    }, this);
  }

  pause(): void {
    this.#isPaused = true;
    this.#controller?.pause();
  }

  unpause(): void {
    this.#isPaused = false;
    this.#controller?.resume();
  }

  cancel(): void {
    if (this.#hasEnded || this.#isCancelled) return;
    this.#isCancelled = true;
    if (this.#controller === undefined) {
      this.#fail(
        "cancelled",
        "not_run",
        "The generation was never sent",
      );
      return;
    }
    this.unpause();
    void this.#options.askToCancel().then(() => {
      setTimeout(() => {
        this.#abortAfterCancel();
      }, this.#options.cancelGraceMilliseconds).unref();
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#hasEnded) {
      controller.abort(new Error("The generation was cancelled before"));
      return;
    }
    this.#controller = controller;
    if (this.#isPaused) controller.pause();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.#status = status;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#status === STATUS_OK) {
      this.#lineSplitter.push(chunk);
      return;
    }
    this.#errorBody += chunk.toString();
    if (this.#errorBody.length > MAXIMUM_ERROR_BODY_LENGTH) {
      controller.abort(new Error("The refusal is too large"));
    }
  }

  onResponseEnd(): void {
    if (this.#hasEnded) return;
    if (this.#status === STATUS_OK) {
      this.#fail(
        "unavailable",
        "unknown",
        "The stream stopped before its end",
      );
      return;
    }
    const response = { status: this.#status, body: this.#errorBody };
    const { peer } = this.#options.client;
    this.#end(err(failureFromResponse(response, { step: this.#step(), peer })));
  }

  onResponseError(_controller: unknown, error: Error): void {
    if (error instanceof InvariantViolation) rethrowInMicrotask(error);
    if (this.#hasEnded) return;
    if (error instanceof LineTooLongError) {
      this.#fail("corrupt", "unknown", error.message);
      return;
    }
    const { peer } = this.#options.client;
    const started = this.#controller !== undefined;
    this.#end(
      err(
        failureFromTransportError(error, { step: this.#step(), peer, started }),
      ),
    );
  }

  #onLine(line: string): void {
    if (this.#hasEnded) return;
    const value = this.#frameReader.read(line);
    if (isGenerationFrame(value)) {
      this.#sink.onFrame(value);
      return;
    }
    const endLine = parseEndLine(value);
    if (endLine === undefined) {
      this.#fail("corrupt", "unknown", "Cannot read a line of the stream");
      this.#controller?.abort(new Error("The stream is corrupt"));
      return;
    }
    if (endLine.kind === "end") {
      this.#end(ok(endLine.end));
      return;
    }
    const { peer } = this.#options.client;
    this.#end(err({ ...endLine.failure, step: this.#step(), peer }));
  }

  #abortAfterCancel(): void {
    if (this.#hasEnded) return;
    this.#fail(
      "cancelled",
      "unknown",
      "The stream went on after its cancel",
    );
    this.#controller?.abort(new Error("The generation was cancelled"));
  }

  #fail(reason: FailureReason, outcome: RunOutcome, message: string): void {
    const { peer } = this.#options.client;
    this.#end(err({ reason, step: this.#step(), peer, message, outcome }));
  }

  #end(result: Result<GenerationEnd, Failure>): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#sink.onEnd(result);
  }

  #step(): FailureStep {
    return this.#call.fromSequence > 0 ? "resume_stream" : "generate";
  }
}

/**
 * undici catches what a sink throws. An invariant violation is rethrown outside
 * of its call stack, so that it surfaces as an uncaught exception.
 */
function rethrowInMicrotask(error: InvariantViolation): void {
  queueMicrotask(() => {
    throw error;
  });
}
