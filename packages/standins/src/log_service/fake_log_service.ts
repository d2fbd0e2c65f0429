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
import { Stream } from "./stream.ts";

/** What a log service stand-in counted. */
export interface FakeLogServiceCounters {
  readonly appends: number;
  readonly records: number;
  readonly reads: number;
  readonly overloaded: number;
  readonly answersLost: number;
}

const streamSchema = z.object({ stream: z.string().min(1) });
const appendSchema = z.object({ records: z.array(z.string()).min(1) });
const readSchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().default(1_000),
  wait: z.coerce.number().nonnegative().default(0),
});

/** Takes the place of the platform's append-only log service. */
export class FakeLogService extends StandIn<FakeLogServiceFaults> {
  readonly #settings: FakeLogServiceSettings;
  readonly #random: SeededRandom;
  readonly #appendRate: TokenBucket;
  readonly #streams = new Map<string, Stream>();
  #counters: FakeLogServiceCounters = {
    appends: 0,
    records: 0,
    reads: 0,
    overloaded: 0,
    answersLost: 0,
  };

  /** @param settings Settings that differ from the defaults. */
  constructor(settings: Partial<FakeLogServiceSettings> = {}) {
    super(fakeLogServiceFaultsSchema);
    this.#settings = fakeLogServiceSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.#appendRate = new TokenBucket(
      this.#settings.appendsPerSecond,
      performance.now(),
    );
    const path = "/v1/streams/:stream/records";
    this.application.post(path, (request, reply) => {
      return this.#append(request, reply);
    });
    this.application.get(path, (request, reply) => this.#read(request, reply));
  }

  override readCounters(): FakeLogServiceCounters {
    return this.#counters;
  }

  async #append(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const parameters = parseInput(streamSchema, request.params);
    if (parameters.isErr()) return sendRefusal(reply, parameters.error);
    const body = parseInput(appendSchema, request.body);
    if (body.isErr()) return sendRefusal(reply, body.error);
    const { records } = body.value;
    if (totalBytes(records) > this.#settings.maximumAppendBytes) {
      return sendRefusal(reply, refusal("invalid", "The append is too large"));
    }
    if (this.strikes("dropNextAppends")) return dropConnection(reply);
    if (this.strikes("refuseNextAppends")) {
      return sendRefusal(reply, refusal("refused", "The append is refused"));
    }
    const now = performance.now();
    const waitMilliseconds = this.#appendRate.take(now);
    if (waitMilliseconds > 0) {
      this.#count({ overloaded: 1 });
      return sendRefusal(
        reply,
        refusal("overloaded", "Too many appends a second", {
          retryAfterMilliseconds: waitMilliseconds,
        }),
      );
    }
    const offset = this.#stream(parameters.value.stream).append(records, now);
    this.#count({ appends: 1, records: records.length });
    return await this.#answerAppend(reply, offset);
  }

  async #answerAppend(reply: FastifyReply, offset: number): Promise<unknown> {
    const { appendAnswerDelayMilliseconds, loseAppendAnswerProbability } =
      this.faults;
    if (appendAnswerDelayMilliseconds > 0) {
      await delay(appendAnswerDelayMilliseconds);
    }
    const lost = this.strikes("loseNextAppendAnswers") ||
      this.#random.happens(loseAppendAnswerProbability);
    if (!lost) return { offset };
    this.#count({ answersLost: 1 });
    return dropConnection(reply);
  }

  async #read(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const parameters = parseInput(streamSchema, request.params);
    if (parameters.isErr()) return sendRefusal(reply, parameters.error);
    const query = parseInput(readSchema, request.query);
    if (query.isErr()) return sendRefusal(reply, query.error);
    this.#count({ reads: 1 });
    const stream = this.#stream(parameters.value.stream);
    const { from, limit, wait } = query.value;
    const page = stream.read(from, { limit, now: performance.now() });
    if (page.records.length > 0 || wait === 0) return page;
    await stream.waitForAppend(wait);
    return stream.read(from, { limit, now: performance.now() });
  }

  #stream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream = new Stream({
      milliseconds: this.#settings.retainMilliseconds,
      records: this.#settings.retainRecords,
    });
    this.#streams.set(name, stream);
    return stream;
  }

  #count(more: Partial<FakeLogServiceCounters>): void {
    const counted = this.#counters;
    this.#counters = {
      appends: counted.appends + (more.appends ?? 0),
      records: counted.records + (more.records ?? 0),
      reads: counted.reads + (more.reads ?? 0),
      overloaded: counted.overloaded + (more.overloaded ?? 0),
      answersLost: counted.answersLost + (more.answersLost ?? 0),
    };
  }
}

function totalBytes(records: readonly string[]): number {
  return records.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}
