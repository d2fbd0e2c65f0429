import type { FastifyReply, FastifyRequest } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import { parseInput } from "../shared/parse_input.ts";
import { SeededRandom } from "../shared/random.ts";
import { refusal, sendRefusal } from "../shared/refusal.ts";
import { dropConnection, StandIn } from "../shared/stand_in.ts";
import { TokenBucket } from "../shared/token_bucket.ts";
import {
  type FakeLogServiceFaults,
  fakeLogServiceFaultsSchema,
  type FakeLogServiceSettings,
  fakeLogServiceSettingsSchema,
} from "./settings.ts";
import { LogStream } from "./log_stream.ts";

/** Counters of a log service stand-in. */
export interface FakeLogServiceCounters {
  readonly appends: number;
  readonly records: number;
  readonly reads: number;
  readonly overloaded: number;
  readonly answersLost: number;
}

const streamParametersSchema = z.object({ stream: z.string().min(1) });
const appendBodySchema = z.object({ records: z.array(z.string()).min(1) });
const readQuerySchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().default(1_000),
  wait: z.coerce.number().nonnegative().default(0),
});

/** A stand-in for the platform's append-only log service. */
export class FakeLogService extends StandIn<FakeLogServiceFaults> {
  readonly #settings: FakeLogServiceSettings;
  readonly #random: SeededRandom;
  readonly #appendRateLimiter: TokenBucket;
  readonly #streams = new Map<string, LogStream>();
  #counters: FakeLogServiceCounters = {
    appends: 0,
    records: 0,
    reads: 0,
    overloaded: 0,
    answersLost: 0,
  };

  /** @param settings Overrides of the default settings. */
  constructor(settings: Partial<FakeLogServiceSettings> = {}) {
    super(fakeLogServiceFaultsSchema);
    this.#settings = fakeLogServiceSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.#appendRateLimiter = new TokenBucket(
      this.#settings.appendsPerSecond,
      performance.now(),
    );
    const path = "/v1/streams/:stream/records";
    this.application.post(path, (request, reply) => {
      return this.#handleAppend(request, reply);
    });
    this.application.get(
      path,
      (request, reply) => this.#handleRead(request, reply),
    );
  }

  override readCounters(): FakeLogServiceCounters {
    return this.#counters;
  }

  async #handleAppend(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const parameters = parseInput(streamParametersSchema, request.params);
    if (parameters.isErr()) return sendRefusal(reply, parameters.error);
    const body = parseInput(appendBodySchema, request.body);
    if (body.isErr()) return sendRefusal(reply, body.error);
    const { records } = body.value;
    if (totalBytes(records) > this.#settings.maximumAppendBytes) {
      return sendRefusal(reply, refusal("invalid", "The append is too large"));
    }
    if (this.consumeFault("dropNextAppends")) return dropConnection(reply);
    if (this.consumeFault("refuseNextAppends")) {
      return sendRefusal(reply, refusal("refused", "The append is refused"));
    }
    const now = performance.now();
    const waitMilliseconds = this.#appendRateLimiter.tryTake(now);
    if (waitMilliseconds > 0) {
      this.#addCounts({ overloaded: 1 });
      return sendRefusal(
        reply,
        refusal("overloaded", "Too many appends a second", {
          retryAfterMilliseconds: waitMilliseconds,
        }),
      );
    }
    const offset = this.#getOrCreateStream(parameters.value.stream).append(
      records,
      now,
    );
    this.#addCounts({ appends: 1, records: records.length });
    return await this.#sendAppendAnswer(reply, offset);
  }

  async #sendAppendAnswer(
    reply: FastifyReply,
    offset: number,
  ): Promise<unknown> {
    const { appendAnswerDelayMilliseconds, loseAppendAnswerProbability } =
      this.faults;
    if (appendAnswerDelayMilliseconds > 0) {
      await delay(appendAnswerDelayMilliseconds);
    }
    const isLost = this.consumeFault("loseNextAppendAnswers") ||
      this.#random.happens(loseAppendAnswerProbability);
    if (!isLost) return { offset };
    this.#addCounts({ answersLost: 1 });
    return dropConnection(reply);
  }

  async #handleRead(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const parameters = parseInput(streamParametersSchema, request.params);
    if (parameters.isErr()) return sendRefusal(reply, parameters.error);
    const query = parseInput(readQuerySchema, request.query);
    if (query.isErr()) return sendRefusal(reply, query.error);
    this.#addCounts({ reads: 1 });
    const stream = this.#getOrCreateStream(parameters.value.stream);
    const { from, limit, wait } = query.value;
    const page = stream.read(from, { limit, now: performance.now() });
    if (page.records.length > 0 || wait === 0) return page;
    await stream.waitForAppend(wait);
    return stream.read(from, { limit, now: performance.now() });
  }

  #getOrCreateStream(name: string): LogStream {
    const existing = this.#streams.get(name);
    if (existing !== undefined) return existing;
    const stream = new LogStream({
      milliseconds: this.#settings.retainMilliseconds,
      records: this.#settings.retainRecords,
    });
    this.#streams.set(name, stream);
    return stream;
  }

  #addCounts(increments: Partial<FakeLogServiceCounters>): void {
    const previous = this.#counters;
    this.#counters = {
      appends: previous.appends + (increments.appends ?? 0),
      records: previous.records + (increments.records ?? 0),
      reads: previous.reads + (increments.reads ?? 0),
      overloaded: previous.overloaded + (increments.overloaded ?? 0),
      answersLost: previous.answersLost + (increments.answersLost ?? 0),
    };
  }
}

function totalBytes(records: readonly string[]): number {
  return records.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}
