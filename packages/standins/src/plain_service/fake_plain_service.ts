import { LEAVING_HEADER, OUTCOME_HEADER, parseJson } from "@foxtailwind/edges";
import type { FastifyReply, FastifyRequest, HTTPMethods } from "fastify";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import {
  commonFaults,
  probability,
  remainingOccurrences,
} from "../shared/common_faults.ts";
import { SeededRandom } from "../shared/random.ts";
import {
  CONTROL_ROUTE_PREFIX,
  dropConnection,
  StandIn,
} from "../shared/stand_in.ts";

/** The settings of a plain service stand-in. */
export const fakePlainServiceSettingsSchema = z.strictObject({
  seed: z.number().int().default(1),
  /** The id of the server, which its responses contain. */
  id: z.string().min(1).default("service-1"),
  latencyMilliseconds: z.number().nonnegative().default(1),
  /** The maximum of a uniformly distributed addition to the latency. */
  latencySpreadMilliseconds: z.number().nonnegative().default(0),
  /** The header with the idempotency key of a call. */
  keyHeader: z.string().min(1).default("idempotency-key"),
});

/** The settings of a plain service stand-in. */
export type FakePlainServiceSettings = Readonly<
  z.infer<typeof fakePlainServiceSettingsSchema>
>;

/** The faults of a plain service stand-in. */
export const fakePlainServiceFaultsSchema = z.strictObject({
  ...commonFaults,
  /** Reports in each response that the server takes no new work. */
  leaving: z.boolean().default(false),
  /** Calls that run but get status 500. */
  errorProbability: probability,
  failNextCalls: remainingOccurrences,
  /** Calls that get status 503 with the outcome `not_run`. */
  refuseNextCalls: remainingOccurrences,
  /** Calls whose connection is dropped before they run. */
  dropNextCalls: remainingOccurrences,
  /** Calls that run but whose response is lost. */
  loseNextAnswers: remainingOccurrences,
});

/** The faults of a plain service stand-in. */
export type FakePlainServiceFaults = Readonly<
  z.infer<typeof fakePlainServiceFaultsSchema>
>;

/** Counters of a plain service stand-in. */
export interface FakePlainServiceCounters {
  readonly calls: number;
  readonly runs: number;
  readonly runsByKey: Readonly<Record<string, number>>;
  /** The idempotency keys that ran more than once on this server. */
  readonly repeatedKeys: readonly string[];
  readonly callsWhileLeaving: number;
}

const SUPPORTED_METHODS: HTTPMethods[] = [
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
  "OPTIONS",
];

/** A stand-in for one server of a plain service. */
export class FakePlainService extends StandIn<FakePlainServiceFaults> {
  readonly #settings: FakePlainServiceSettings;
  readonly #random: SeededRandom;
  readonly #runsByKey = new Map<string, number>();
  #calls = 0;
  #runs = 0;
  #callsWhileLeaving = 0;

  /** @param settings Overrides of the default settings. */
  constructor(settings: Partial<FakePlainServiceSettings> = {}) {
    super(fakePlainServiceFaultsSchema);
    this.#settings = fakePlainServiceSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    this.application.removeAllContentTypeParsers();
    this.application.addContentTypeParser(
      "*",
      { parseAs: "string" },
      (request, body, done) => {
        const isControl = request.url.startsWith(CONTROL_ROUTE_PREFIX);
        done(null, isControl ? parseJson(body.toString()) : body);
      },
    );
    this.application.route({
      method: SUPPORTED_METHODS,
      url: "/*",
      handler: (request, reply) => this.#handleCall(request, reply),
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

  async #handleCall(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    this.#calls += 1;
    if (this.faults.leaving) {
      this.#callsWhileLeaving += 1;
      reply.header(LEAVING_HEADER, "true");
    }
    if (this.consumeFault("dropNextCalls")) return dropConnection(reply);
    if (this.consumeFault("refuseNextCalls")) {
      reply.header(OUTCOME_HEADER, "not_run").code(503);
      return { error: "The call is refused" };
    }
    const key = this.#readIdempotencyKey(request);
    const runsOfKey = this.#countRun(key);
    await delay(this.#drawLatency());
    if (this.consumeFault("loseNextAnswers")) return dropConnection(reply);
    const fails = this.consumeFault("failNextCalls") ||
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

  #readIdempotencyKey(request: FastifyRequest): string | null {
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
