import type { Dispatcher } from "undici";
import { TokenChecker } from "./token_checker.ts";

/** What came of one completion, as its caller saw it. */
export interface CompletionOutcome {
  readonly className: string;
  readonly status: number;
  /** From sending to the first token; absent where none came. */
  readonly firstTokenMilliseconds?: number;
  readonly tokens: number;
  /** Whether the answer came whole, with its end marker. */
  readonly whole: boolean;
  /** Whether every token names the adapter that was asked for. */
  readonly rightAdapter: boolean;
}

/** One completion to ask for. */
export interface CompletionCall {
  readonly baseUrl: string;
  readonly className: string;
  readonly tenant: string;
  /** `adapter@version`. */
  readonly adapter: string;
  readonly prompt: string;
  readonly maximumTokens: number;
}

const OK = 200;

/**
 * Asks for a streamed completion, as an ordinary caller does.
 * @param dispatcher The HTTP client.
 * @param call What to ask for.
 * @returns What came of it.
 */
export async function callCompletion(
  dispatcher: Dispatcher,
  call: CompletionCall,
): Promise<CompletionOutcome> {
  const start = performance.now();
  const answer = await dispatcher.request({
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
  const reader = new StreamReader(call.adapter);
  let firstTokenMilliseconds: number | undefined;
  for await (const piece of answer.body) {
    reader.read(String(piece));
    if (reader.tokens > 0) {
      firstTokenMilliseconds ??= performance.now() - start;
    }
  }
  return {
    className: call.className,
    status: answer.statusCode,
    ...(firstTokenMilliseconds !== undefined && { firstTokenMilliseconds }),
    tokens: reader.tokens,
    whole: answer.statusCode === OK && reader.whole,
    rightAdapter: reader.rightAdapter,
  };
}

const DATA = "data: ";
const DONE = "[DONE]";

class StreamReader {
  whole = false;
  readonly #checker: TokenChecker;
  #rest = "";

  constructor(adapter: string) {
    this.#checker = new TokenChecker(adapter);
  }

  get tokens(): number {
    return this.#checker.tokens;
  }

  get rightAdapter(): boolean {
    return this.#checker.verdict === "right";
  }

  read(piece: string): void {
    const lines = (this.#rest + piece).split("\n");
    this.#rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line.startsWith(DATA)) this.#event(line.slice(DATA.length));
    }
  }

  #event(data: string): void {
    if (data === DONE) {
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
