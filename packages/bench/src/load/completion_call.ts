import type { Dispatcher } from "undici";
import { TokenChecker } from "./token_checker.ts";

/** The outcome of a completion, as its caller sees it. */
export interface CompletionOutcome {
  readonly className: string;
  readonly status: number;
  /** The time from sending to the first token, if one arrived. */
  readonly firstTokenMilliseconds?: number;
  readonly tokens: number;
  /** Whether the answer is complete, including its end marker. */
  readonly whole: boolean;
  /** Whether the tokens are those expected of the requested adapter. */
  readonly rightAdapter: boolean;
}

/** The parameters of a completion request. */
export interface CompletionCall {
  readonly baseUrl: string;
  readonly className: string;
  readonly tenant: string;
  /** `adapter@version`. */
  readonly adapter: string;
  readonly prompt: string;
  readonly maximumTokens: number;
}

const HTTP_OK = 200;

/**
 * Requests a streamed completion, as an ordinary caller does.
 * @param dispatcher The HTTP client.
 * @param call The parameters of the request.
 * @returns The outcome.
 */
export async function requestCompletion(
  dispatcher: Dispatcher,
  call: CompletionCall,
): Promise<CompletionOutcome> {
  const start = performance.now();
  const response = await dispatcher.request({
    origin: call.baseUrl,
    path: "/v1/chat/completions",
    method: "POST",
    headers: {
      "content-type": "application/json",
      "x-foxtailwind-class": call.className,
      "x-foxtailwind-tenant": call.tenant,
    },
    body: JSON.stringify({
      model: call.adapter,
      messages: [{ role: "user", content: call.prompt }],
      max_tokens: call.maximumTokens,
      stream: true,
    }),
  });
  const reader = new CompletionStreamReader(call.adapter);
  let firstTokenMilliseconds: number | undefined;
  for await (const chunk of response.body) {
    reader.read(String(chunk));
    if (reader.tokens > 0) {
      firstTokenMilliseconds ??= performance.now() - start;
    }
  }
  return {
    className: call.className,
    status: response.statusCode,
    ...(firstTokenMilliseconds !== undefined && { firstTokenMilliseconds }),
    tokens: reader.tokens,
    whole: response.statusCode === HTTP_OK && reader.whole,
    rightAdapter: reader.rightAdapter,
  };
}

const DATA_PREFIX = "data: ";
const END_MARKER = "[DONE]";

class CompletionStreamReader {
  whole = false;
  readonly #checker: TokenChecker;
  #partialLine = "";

  constructor(adapter: string) {
    this.#checker = new TokenChecker(adapter);
  }

  get tokens(): number {
    return this.#checker.tokenCount;
  }

  get rightAdapter(): boolean {
    return this.#checker.verdict === "right";
  }

  read(text: string): void {
    const lines = (this.#partialLine + text).split("\n");
    this.#partialLine = lines.pop() ?? "";
    for (const line of lines) {
      if (line.startsWith(DATA_PREFIX)) {
        this.#readEvent(line.slice(DATA_PREFIX.length));
      }
    }
  }

  #readEvent(data: string): void {
    if (data === END_MARKER) {
      this.whole = true;
      return;
    }
    const chunk = JSON.parse(data) as CompletionChunk;
    this.#checker.read(chunk.choices?.[0]?.delta.content ?? "");
  }
}

interface CompletionChunk {
  readonly choices?: readonly {
    readonly delta: { readonly content?: string };
  }[];
}
