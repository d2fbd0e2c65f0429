import {
  ByteCollector,
  type Failure,
  type FailureStep,
} from "@foxtailwind/core";
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import { afterPendingInput } from "./after_pending_input.ts";
import {
  hasEndingConnectionFailed,
  hasExtraResponse,
} from "./connection_ends.ts";
import { failureFromTransportError } from "./transport_error.ts";

/** One HTTP request and its limits. */
export interface ExchangeOptions {
  readonly step: FailureStep;
  readonly peer: string;
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | string[]>>;
  readonly body?: string | Uint8Array;
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal;
  /** A larger response is aborted and fails; 16 MiB by default. */
  readonly maximumResponseBytes?: number;
}

/** A complete HTTP response of any status. */
export interface ExchangeResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/**
 * Sends one request, without retries, and buffers its complete response.
 * @param dispatcher Manages the connections.
 * @param options The request and its limits.
 * @returns The response, or a failure whose outcome tells whether the request
 * may have run.
 */
export function exchange(
  dispatcher: Dispatcher,
  options: ExchangeOptions,
): Promise<Result<ExchangeResponse, Failure>> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(options, resolve);
    handler.start(dispatcher);
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #options: ExchangeOptions;
  readonly #resolve: (result: Result<ExchangeResponse, Failure>) => void;
  readonly #body = new ByteCollector();
  readonly #onAbort = (): void => {
    this.#abandon(
      createErrorWithCode("The call was cancelled", "UND_ERR_ABORTED"),
    );
  };
  #timer: NodeJS.Timeout | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  /** Whether the response has ended and only its validity is still unknown. */
  #hasReceivedEnd = false;
  #isSettled = false;
  #status = 0;
  #headers: IncomingHttpHeaders = {};

  constructor(
    options: ExchangeOptions,
    resolve: (result: Result<ExchangeResponse, Failure>) => void,
  ) {
    this.#options = options;
    this.#resolve = resolve;
  }

  start(dispatcher: Dispatcher): void {
    const { origin, method, path, headers, body, signal } = this.#options;
    if (signal?.aborted === true) {
      this.#onAbort();
      return;
    }
    signal?.addEventListener("abort", this.#onAbort, { once: true });
    this.#timer = setTimeout(() => {
      afterPendingInput(() => {
        if (this.#hasReceivedEnd) return;
        this.#abandon(
          createErrorWithCode(
            "The answer took too long",
            "UND_ERR_HEADERS_TIMEOUT",
          ),
        );
      });
    }, this.#options.timeoutMilliseconds);
    dispatcher.dispatch({
      origin,
      method,
      path,
      headers: headers ?? null,
      body: body ?? null,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, this);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isSettled) {
      controller.abort(
        createErrorWithCode("The call was given up", "ABANDONED"),
      );
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const {
      maximumResponseBytes = DEFAULT_MAXIMUM_RESPONSE_BYTES,
    } = this.#options;
    if (this.#body.length + chunk.length > maximumResponseBytes) {
      controller.abort(
        createErrorWithCode("The answer is too large", "TOO_LARGE"),
      );
      return;
    }
    this.#body.append(chunk);
  }

  onResponseEnd(): void {
    this.#hasReceivedEnd = true;
    void this.#checkEnd(hasEndingConnectionFailed(), hasExtraResponse());
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#hasReceivedEnd = true;
    this.#fail(error);
  }

  async #checkEnd(
    connectionFailed: Promise<boolean> | undefined,
    isFollowedByResponse: Promise<boolean>,
  ): Promise<void> {
    if (await connectionFailed === true) {
      this.#fail(
        createErrorWithCode("The answer broke off", "RESET"),
      );
    } else if (await isFollowedByResponse) {
      this.#fail(
        createErrorWithCode(
          "Two answers came",
          "OUT_OF_STEP",
        ),
      );
    } else {
      this.#succeed();
    }
  }

  #succeed(): void {
    this.#settle(ok({
      status: this.#status,
      headers: this.#headers,
      body: this.#body.bytes,
    }));
  }

  #abandon(error: Error): void {
    this.#fail(error);
    this.#controller?.abort(error);
  }

  #fail(error: Error): void {
    const { step, peer } = this.#options;
    const started = this.#controller !== undefined;
    this.#settle(
      err(failureFromTransportError(error, { step, peer, started })),
    );
  }

  #settle(result: Result<ExchangeResponse, Failure>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
    this.#resolve(result);
  }
}

function createErrorWithCode(message: string, code: string): Error {
  return Object.assign(new Error(message), { code });
}
