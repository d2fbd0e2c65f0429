import type { Dispatcher } from "undici";

/** One streamed answer to ask for. */
export interface StreamCall {
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** How many tokens a whole answer has. */
  readonly tokens: number;
  /** What a whole answer's last bytes hold. */
  readonly lastText: string;
}

/** What came of a streamed answer. */
export interface StreamOutcome {
  readonly whole: boolean;
  readonly firstTokenMilliseconds: number;
  readonly wholeMilliseconds: number;
  /** In how many pieces the answer arrived: about one for each write. */
  readonly pieces: number;
}

const OK = 200;
/** The stand-in engine puts this into the text of each token, once. */
const TOKEN_MARK = 35;
const LAST_BYTES = 512;

/** Counts the tokens of one answer without parsing it: it must be cheap. */
class StreamReader implements Dispatcher.DispatchHandler {
  readonly #call: StreamCall;
  readonly #onOutcome: (outcome: StreamOutcome) => void;
  readonly #startedAt = performance.now();
  #firstAt: number | undefined;
  #status = 0;
  #tokens = 0;
  #pieces = 0;
  #last = "";

  constructor(call: StreamCall, onOutcome: (outcome: StreamOutcome) => void) {
    this.#call = call;
    this.#onOutcome = onOutcome;
  }

  onRequestStart(): void {
    // The start was noted before the connection was chosen.
  }

  onResponseStart(_controller: unknown, status: number): void {
    this.#status = status;
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    this.#tokens += countMarks(chunk);
    this.#pieces += 1;
    if (this.#tokens > 0) this.#firstAt ??= performance.now();
    this.#last = chunk.subarray(-LAST_BYTES).toString("latin1");
  }

  onResponseEnd(): void {
    this.#end(
      this.#status === OK && this.#tokens === this.#call.tokens &&
        this.#last.includes(this.#call.lastText),
    );
  }

  onResponseError(): void {
    this.#end(false);
  }

  #end(whole: boolean): void {
    const now = performance.now();
    this.#onOutcome({
      whole,
      firstTokenMilliseconds: (this.#firstAt ?? now) - this.#startedAt,
      wholeMilliseconds: now - this.#startedAt,
      pieces: this.#pieces,
    });
  }
}

/**
 * Asks for a streamed answer.
 * @param dispatcher The HTTP client.
 * @param call What to ask for.
 * @returns What came of it.
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

function countMarks(chunk: Buffer): number {
  let count = 0;
  let place = chunk.indexOf(TOKEN_MARK);
  while (place >= 0) {
    count += 1;
    place = chunk.indexOf(TOKEN_MARK, place + 1);
  }
  return count;
}
