import type { Dispatcher } from "undici";

/** A request for a streamed response. */
export interface StreamCall {
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Number of tokens in a complete response. */
  readonly expectedTokens: number;
  /** Text that the last bytes of a complete response contain. */
  readonly endText: string;
}

/** Outcome of a streamed response. */
export interface StreamOutcome {
  readonly whole: boolean;
  readonly firstTokenMilliseconds: number;
  readonly wholeMilliseconds: number;
  /** Number of data chunks received: about one for each write. */
  readonly pieces: number;
}

const HTTP_OK = 200;
/** `#`, which the stand-in engine writes exactly once in each token. */
const TOKEN_MARK = 35;
const TAIL_BYTES = 512;

/** Counts the tokens of a response without parsing it, to stay cheap. */
class StreamReader implements Dispatcher.DispatchHandler {
  readonly #call: StreamCall;
  readonly #onOutcome: (outcome: StreamOutcome) => void;
  readonly #startedAt = performance.now();
  #firstTokenAt: number | undefined;
  #status = 0;
  #tokens = 0;
  #pieces = 0;
  #tail = "";

  constructor(call: StreamCall, onOutcome: (outcome: StreamOutcome) => void) {
    this.#call = call;
    this.#onOutcome = onOutcome;
  }

  onRequestStart(): void {
    // The constructor records the start, before a connection is chosen.
  }

  onResponseStart(_controller: unknown, status: number): void {
    this.#status = status;
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    this.#tokens += countTokenMarks(chunk);
    this.#pieces += 1;
    if (this.#tokens > 0) this.#firstTokenAt ??= performance.now();
    this.#tail = chunk.subarray(-TAIL_BYTES).toString("latin1");
  }

  onResponseEnd(): void {
    this.#finish(
      this.#status === HTTP_OK && this.#tokens === this.#call.expectedTokens &&
        this.#tail.includes(this.#call.endText),
    );
  }

  onResponseError(): void {
    this.#finish(false);
  }

  #finish(whole: boolean): void {
    const now = performance.now();
    this.#onOutcome({
      whole,
      firstTokenMilliseconds: (this.#firstTokenAt ?? now) - this.#startedAt,
      wholeMilliseconds: now - this.#startedAt,
      pieces: this.#pieces,
    });
  }
}

/**
 * Requests a streamed response.
 * @param dispatcher The HTTP client.
 * @param call The request to send.
 * @returns The outcome of the response.
 */
export function callStream(
  dispatcher: Dispatcher,
  call: StreamCall,
): Promise<StreamOutcome> {
  return new Promise((resolve) => {
    dispatcher.dispatch({
      origin: call.origin,
      path: call.path,
      method: "POST",
      headers: call.headers,
      body: call.body,
    }, new StreamReader(call, resolve));
  });
}

function countTokenMarks(chunk: Buffer): number {
  let count = 0;
  let index = chunk.indexOf(TOKEN_MARK);
  while (index >= 0) {
    count += 1;
    index = chunk.indexOf(TOKEN_MARK, index + 1);
  }
  return count;
}
