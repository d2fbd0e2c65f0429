import { Agent, type Dispatcher } from "undici";
import * as z from "zod";
import type { CallRecord, CallVerdict } from "./call_record.ts";
import { TokenChecker } from "../load/token_checker.ts";

const OK = 200;
const DATA = "data: ";
const DONE = "[DONE]";
const ANSWER_TIMEOUT_MILLISECONDS = 90_000;

/** One completion to ask for. */
export interface CompletionPlan {
  readonly key: string;
  /** IP literal and port, and id, of the node to ask. */
  readonly node: { readonly id: string; readonly http: string };
  readonly className: string;
  /** `adapter@version`. */
  readonly adapter: string;
  readonly maximumTokens: number;
}

/** One call to the booking service that must not run twice. */
export interface BookingPlan {
  readonly key: string;
  readonly node: { readonly id: string; readonly http: string };
}

/** Sends requests and judges the answers, as a strict caller does. */
export class FaultCaller {
  readonly #agent = new Agent({
    connections: null,
    headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
    bodyTimeout: ANSWER_TIMEOUT_MILLISECONDS,
  });

  /**
   * Asks for a streamed completion.
   * @param plan What to ask for.
   * @returns What came of it.
   */
  async complete(plan: CompletionPlan): Promise<CallRecord> {
    const sentAt = performance.now();
    const checker = new TokenChecker(plan.adapter);
    const reader = new AnswerReader(checker);
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
      for await (const piece of answer.body) reader.read(String(piece));
    } catch (error) {
      reader.broken = error instanceof Error ? error.message : String(error);
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
   * @param plan The call.
   * @returns What came of it.
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
      verdict = answer.statusCode === OK ? "whole" : outcomeOf(body);
      detail = answer.statusCode === OK ? "" : body;
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

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** The HTTP client, for probes. */
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

class AnswerReader {
  status = 0;
  broken = "";
  firstTokenAt: number | undefined;
  readonly #checker: TokenChecker;
  #rest = "";
  #all = "";
  #done = false;
  #typedError: CallVerdict | undefined;

  constructor(checker: TokenChecker) {
    this.#checker = checker;
  }

  read(piece: string): void {
    if (this.status !== OK) {
      this.#all += piece;
      return;
    }
    const lines = (this.#rest + piece).split("\n");
    this.#rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line.startsWith(DATA)) this.#event(line.slice(DATA.length));
    }
  }

  verdict(expectedTokens: number): CallVerdict {
    if (this.status === 0) return "lost";
    if (this.status !== OK) return outcomeOf(this.#all);
    if (this.#checker.verdict === "misdelivered") return "misdelivered";
    if (this.#typedError !== undefined) return this.#typedError;
    const whole = this.#done && this.#checker.tokens === expectedTokens;
    return whole ? "whole" : "cut";
  }

  detail(): string {
    return `${this.status} ${this.broken}${this.#all}`.trim();
  }

  #event(data: string): void {
    if (data === DONE) {
      this.#done = true;
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
