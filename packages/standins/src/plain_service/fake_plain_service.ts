import { LEAVING_HEADER, OUTCOME_HEADER, parseJson } from "@foxtailwind/edges";
import type { FastifyReply, FastifyRequest, HTTPMethods } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import {
  commonFaults,
  nextOccasions,
  probability,
} from "../shared/common_faults.ts";
import { SeededRandom } from "../shared/random.ts";
import { CONTROL_PREFIX, dropConnection, StandIn } from "../shared/stand_in.ts";

/** The settings of a plain service stand-in. */
export const fakePlainServiceSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  /** Named in its answers. */
  id: z.string().min(1).default("service-1"),
  latencyMilliseconds: z.number().nonnegative().default(1),
  /** Added to the latency, evenly spread from 0 to this. */
  latencySpreadMilliseconds: z.number().nonnegative().default(0),
  /** The header that carries the key of a call that must not run twice. */
  keyHeader: z.string().min(1).default("idempotency-key"),
});

/** The settings of a plain service stand-in. */
export type FakePlainServiceSettings = Readonly<
  z.infer<typeof fakePlainServiceSettingsSchema>
>;

/** The faults of a plain service stand-in. */
export const fakePlainServiceFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Tells in each answer that the server wants no new work. */
  leaving: z.boolean().default(false),
  /** Calls that run, but are answered with status 500. */
  errorProbability: probability,
  failNextCalls: nextOccasions,
  /** Calls that are answered with status 503 and stated as not run. */
  refuseNextCalls: nextOccasions,
  /** Calls whose connection is lost before they run. */
  dropNextCalls: nextOccasions,
  /** Calls that run, but whose answer is lost. */
  loseNextAnswers: nextOccasions,
});

/** The faults of a plain service stand-in. */
export type FakePlainServiceFaults = Readonly<
  z.infer<typeof fakePlainServiceFaultsSchema>
>;

/** What a plain service stand-in counted. */
export interface FakePlainServiceCounters {
  readonly calls: number;
  readonly runs: number;
  readonly runsByKey: Readonly<Record<string, number>>;
  /** Keys that ran more than once on this server. */
  readonly repeatedKeys: readonly string[];
  readonly callsWhileLeaving: number;
}

const METHODS: HTTPMethods[] = [
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
  "OPTIONS",
];

/** Takes the place of one server of a plain service. */
export class FakePlainService extends StandIn<FakePlainServiceFaults> {
  readonly #settings: FakePlainServiceSettings;
  readonly #random: SeededRandom;
  readonly #runsByKey = new Map<string, number>();
  #calls = 0;
  #runs = 0;
  #callsWhileLeaving = 0;

  /** @param settings Settings that differ from the defaults. */
  constructor(settings: Partial<FakePlainServiceSettings> = {}) {
    super(fakePlainServiceFaultsSchema);
    this.#settings = fakePlainServiceSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.application.removeAllContentTypeParsers();
    this.application.addContentTypeParser(
      "*",
      { parseAs: "string" },
      (request, body, done) => {
        const isControl = request.url.startsWith(CONTROL_PREFIX);
        done(null, isControl ? parseJson(body.toString()) : body);
      },
    );
    this.application.route({
      method: METHODS,
      url: "/*",
      handler: (request, reply) => this.#call(request, reply),
    });
  }

  override readCounters(): FakePlainServiceCounters {
    const repeated = [...this.#runsByKey].filter(([, runs]) => runs > 1);
    return {
      calls: this.#calls,
      runs: this.#runs,
      runsByKey: Object.fromEntries(this.#runsByKey),
      repeatedKeys: repeated.map(([key]) => key),
      callsWhileLeaving: this.#callsWhileLeaving,
    };
  }

  async #call(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    this.#calls += 1;
    if (this.faults.leaving) {
      this.#callsWhileLeaving += 1;
      reply.header(LEAVING_HEADER, "true");
    }
    if (this.strikes("dropNextCalls")) return dropConnection(reply);
    if (this.strikes("refuseNextCalls")) {
      reply.header(OUTCOME_HEADER, "not_run").code(503);
      return { error: "The call is refused" };
    }
    const key = this.#readKey(request);
    const runsOfKey = this.#countRun(key);
    await delay(this.#drawLatency());
    if (this.strikes("loseNextAnswers")) return dropConnection(reply);
    const fails = this.strikes("failNextCalls") ||
      this.#random.happens(this.faults.errorProbability);
    if (fails) {
      reply.code(500);
      return { error: "The call failed" };
    }
    return {
      server: this.#settings.id,
      method: request.method,
      path: request.url,
      key,
      runsOfKey,
    };
  }

  #readKey(request: FastifyRequest): string | null {
    const value = request.headers[this.#settings.keyHeader];
    return typeof value === "string" ? value : null;
  }

  #countRun(key: string | null): number {
    this.#runs += 1;
    if (key === null) return 1;
    const runs = (this.#runsByKey.get(key) ?? 0) + 1;
    this.#runsByKey.set(key, runs);
    return runs;
  }

  #drawLatency(): number {
    const { latencyMilliseconds, latencySpreadMilliseconds } = this.#settings;
    return latencyMilliseconds +
      this.#random.next() * latencySpreadMilliseconds;
  }
}
