import { Agent, type Dispatcher } from "undici";
import * as z from "zod";
import type { CallRecord, CallVerdict } from "./call_record.ts";
import { TokenChecker } from "../load/token_checker.ts";

const HTTP_OK = 200;
const EVENT_DATA_PREFIX = "data: ";
const STREAM_END = "[DONE]";
const ANSWER_TIMEOUT_MILLISECONDS = 90_000;

/** A completion to request. */
export interface CompletionPlan {
  readonly key: string;
  /** The node to call: its ID, and its IP literal and port. */
  readonly node: { readonly id: string; readonly http: string };
  readonly className: string;
  /** `adapter@version`. */
  readonly adapter: string;
  readonly maximumTokens: number;
}

/** A call to the booking service that must not run twice. */
export interface BookingPlan {
  readonly key: string;
  readonly node: { readonly id: string; readonly http: string };
}

/** Sends requests and classifies their responses strictly. */
export class FaultCaller {
  readonly #agent = new Agent({
    connections: null,
    headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
    bodyTimeout: ANSWER_TIMEOUT_MILLISECONDS,
  });

  /**
   * Requests a streamed completion.
   * @param plan The completion to request.
   * @returns The outcome of the request.
   */
  async complete(plan: CompletionPlan): Promise<CallRecord> {
    const sentAt = performance.now();
    const checker = new TokenChecker(plan.adapter);
    const reader = new ResponseReader(checker);
    try {
      const answer = await this.#agent.request({
        origin: `http://${plan.node.http}`,
        path: "/v1/chat/completions",
        method: "POST",
        headers: {
          "content-type": "application/json",
          "x-foxtailwind-class": plan.className,
          "x-foxtailwind-tenant": "tenant-1",
        },
        body: JSON.stringify({
          model: plan.adapter,
          messages: [{ role: "user", content: `Note for ${plan.key}.` }],
          max_tokens: plan.maximumTokens,
          stream: true,
        }),
      });
      reader.status = answer.statusCode;
      for await (const chunk of answer.body) reader.read(String(chunk));
    } catch (error) {
      reader.connectionError = error instanceof Error
        ? error.message
        : String(error);
    }
    return {
      kind: "completion",
      key: plan.key,
      node: plan.node.id,
      sentAt,
      endedAt: performance.now(),
      ...(reader.firstTokenAt !== undefined &&
        { firstTokenAt: reader.firstTokenAt }),
      verdict: reader.verdict(plan.maximumTokens),
      detail: reader.detail(),
    };
  }

  /**
   * Calls the booking service once, marked as not repeatable.
   * @param plan The call to make.
   * @returns The outcome of the call.
   */
  async book(plan: BookingPlan): Promise<CallRecord> {
    const sentAt = performance.now();
    let verdict: CallVerdict;
    let detail = "";
    try {
      const answer = await this.#agent.request({
        origin: `http://${plan.node.http}`,
        path: "/v1/services/booking/slots",
        method: "POST",
        headers: {
          "content-type": "application/json",
          "idempotency-key": plan.key,
          "x-foxtailwind-not-repeatable": "true",
        },
        body: JSON.stringify({ booking: plan.key }),
      });
      const body = await answer.body.text();
      verdict = answer.statusCode === HTTP_OK ? "whole" : outcomeOf(body);
      detail = answer.statusCode === HTTP_OK ? "" : body;
    } catch (error) {
      verdict = "lost";
      detail = error instanceof Error ? error.message : String(error);
    }
    return {
      kind: "booking",
      key: plan.key,
      node: plan.node.id,
      sentAt,
      endedAt: performance.now(),
      verdict,
      detail,
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** The HTTP client that sends the requests. */
  get dispatcher(): Dispatcher {
    return this.#agent;
  }
}

const problemSchema = z.object({
  outcome: z.enum(["not_run", "unknown", "ran"]),
});

function outcomeOf(body: string): CallVerdict {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data.outcome : "lost";
  } catch {
    return "lost";
  }
}

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
  })).optional(),
  error: problemSchema.optional(),
});

/** Reads one streamed response and classifies its outcome. */
class ResponseReader {
  status = 0;
  connectionError = "";
  firstTokenAt: number | undefined;
  readonly #checker: TokenChecker;
  #incompleteLine = "";
  #errorBody = "";
  #streamEnded = false;
  #typedError: CallVerdict | undefined;

  constructor(checker: TokenChecker) {
    this.#checker = checker;
  }

  read(chunk: string): void {
    if (this.status !== HTTP_OK) {
      this.#errorBody += chunk;
      return;
    }
    const lines = (this.#incompleteLine + chunk).split("\n");
    this.#incompleteLine = lines.pop() ?? "";
    for (const line of lines) {
      if (line.startsWith(EVENT_DATA_PREFIX)) {
        this.#readEvent(line.slice(EVENT_DATA_PREFIX.length));
      }
    }
  }

  verdict(expectedTokens: number): CallVerdict {
    if (this.status === 0) return "lost";
    if (this.status !== HTTP_OK) return outcomeOf(this.#errorBody);
    if (this.#checker.verdict === "misdelivered") return "misdelivered";
    if (this.#typedError !== undefined) return this.#typedError;
    const whole = this.#streamEnded &&
      this.#checker.tokenCount === expectedTokens;
    return whole ? "whole" : "cut";
  }

  detail(): string {
    return `${this.status} ${this.connectionError}${this.#errorBody}`.trim();
  }

  #readEvent(data: string): void {
    if (data === STREAM_END) {
      this.#streamEnded = true;
      return;
    }
    const chunk = chunkSchema.parse(JSON.parse(data));
    if (chunk.error !== undefined) this.#typedError = chunk.error.outcome;
    const content = chunk.choices?.[0]?.delta.content;
    if (content === undefined || content === "") return;
    this.firstTokenAt ??= performance.now();
    this.#checker.read(content);
  }
}
