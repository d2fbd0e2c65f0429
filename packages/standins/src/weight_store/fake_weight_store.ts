import {
  adapterReferenceSchema,
  type AdapterWeights,
  type WeightStoreLimits,
} from "@foxtailwind/edges";
import type { FastifyReply, FastifyRequest } from "fastify";
import { parseInput } from "../shared/parse_input.ts";
import { SeededRandom } from "../shared/random.ts";
import { refusal, sendRefusal } from "../shared/refusal.ts";
import { dropConnection, StandIn } from "../shared/stand_in.ts";
import { TokenBucket } from "../shared/token_bucket.ts";
import {
  type FakeWeightStoreFaults,
  fakeWeightStoreFaultsSchema,
  type FakeWeightStoreSettings,
  fakeWeightStoreSettingsSchema,
} from "./settings.ts";
import { TransferShare } from "./transfer_share.ts";

/** What a weight store stand-in counted. */
export interface FakeWeightStoreCounters {
  readonly loadsStarted: number;
  readonly loadsFinished: number;
  readonly loadsFailed: number;
  readonly overloaded: number;
  readonly mostConcurrent: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Takes the place of the platform's rate-limited weight store. */
export class FakeWeightStore extends StandIn<FakeWeightStoreFaults> {
  readonly #settings: FakeWeightStoreSettings;
  readonly #random: SeededRandom;
  readonly #rate: TokenBucket;
  readonly #transfers: TransferShare;
  readonly #counters = {
    loadsStarted: 0,
    loadsFinished: 0,
    loadsFailed: 0,
    overloaded: 0,
    mostConcurrent: 0,
  };
  #timer: NodeJS.Timeout | undefined;

  /** @param settings Settings that differ from the defaults. */
  constructor(settings: Partial<FakeWeightStoreSettings> = {}) {
    super(fakeWeightStoreFaultsSchema);
    this.#settings = fakeWeightStoreSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    const { loadsPerSecond, bytesPerSecond, concurrentLoads } = this.#settings;
    this.#rate = new TokenBucket(loadsPerSecond, performance.now());
    this.#transfers = new TransferShare({
      bytesPerMillisecond: bytesPerSecond / MILLISECONDS_PER_SECOND,
      concurrentAtFullSpeed: concurrentLoads,
    });
    this.#serve();
  }

  override readCounters(): FakeWeightStoreCounters {
    return { ...this.#counters };
  }

  override async close(): Promise<void> {
    clearTimeout(this.#timer);
    await super.close();
  }

  #serve(): void {
    const path = "/v1/adapters/:adapter/versions/:version";
    this.application.get("/v1/limits", () => this.#limits());
    this.application.get(path, (request, reply) => {
      return this.#describe(request, reply);
    });
    this.application.get(`${path}/weights`, (request, reply) => {
      return this.#load(request, reply);
    });
  }

  #limits(): WeightStoreLimits {
    const { loadsPerSecond, concurrentLoads } = this.#settings;
    return { loadsPerSecond, concurrentLoads };
  }

  #describe(
    request: FastifyRequest,
    reply: FastifyReply,
  ): AdapterWeights | FastifyReply {
    const adapter = parseInput(adapterReferenceSchema, request.params);
    if (adapter.isErr()) return sendRefusal(reply, adapter.error);
    if (this.faults.missingAdapters.includes(adapter.value.adapter)) {
      const message = `No adapter "${adapter.value.adapter}" is stored`;
      return sendRefusal(reply, refusal("not_found", message));
    }
    return { adapter: adapter.value, bytes: this.#settings.adapterBytes };
  }

  async #load(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const weights = this.#describe(request, reply);
    if (!("bytes" in weights)) return weights;
    const waitMilliseconds = this.#rate.take(performance.now());
    if (waitMilliseconds > 0) {
      this.#counters.overloaded += 1;
      return sendRefusal(
        reply,
        refusal("overloaded", "Too many loads a second", {
          retryAfterMilliseconds: waitMilliseconds,
        }),
      );
    }
    this.#counters.loadsStarted += 1;
    const drops = this.strikes("dropNextLoads");
    const whole = await this.#transfer(
      drops ? weights.bytes / 2 : weights.bytes,
      reply,
    );
    if (drops || !whole) {
      this.#counters.loadsFailed += 1;
      return dropConnection(reply);
    }
    const fails = this.strikes("failNextLoads") ||
      this.#random.happens(this.faults.failLoadProbability);
    if (fails) {
      this.#counters.loadsFailed += 1;
      return sendRefusal(reply, refusal("unavailable", "The load failed"));
    }
    this.#counters.loadsFinished += 1;
    return weights;
  }

  /** Resolves to whether the caller stayed until the transfer was whole. */
  #transfer(bytes: number, reply: FastifyReply): Promise<boolean> {
    return new Promise((resolve) => {
      const now = performance.now();
      const finish = (): void => {
        reply.raw.off("close", onClose);
        resolve(true);
      };
      const stop = this.#transfers.start(bytes, { now, finish });
      const onClose = (): void => {
        stop(performance.now());
        this.#schedule();
        resolve(false);
      };
      reply.raw.once("close", onClose);
      this.#counters.mostConcurrent = Math.max(
        this.#counters.mostConcurrent,
        this.#transfers.active,
      );
      this.#schedule();
    });
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    const next = this.#transfers.nextFinish();
    if (next === undefined) return;
    this.#timer = setTimeout(() => {
      this.#transfers.advance(performance.now());
      this.#schedule();
    }, Math.max(1, next - performance.now()));
  }
}
