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
import { TransferScheduler } from "./transfer_scheduler.ts";

/** Counters of a weight store stand-in. */
export interface FakeWeightStoreCounters {
  readonly loadsStarted: number;
  readonly loadsFinished: number;
  readonly loadsFailed: number;
  readonly overloaded: number;
  readonly mostConcurrent: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** A stand-in for the platform's rate-limited weight store. */
export class FakeWeightStore extends StandIn<FakeWeightStoreFaults> {
  readonly #settings: FakeWeightStoreSettings;
  readonly #random: SeededRandom;
  readonly #loadRateLimiter: TokenBucket;
  readonly #transfers: TransferScheduler;
  readonly #counters = {
    loadsStarted: 0,
    loadsFinished: 0,
    loadsFailed: 0,
    overloaded: 0,
    mostConcurrent: 0,
  };
  #transferTimer: NodeJS.Timeout | undefined;

  /** @param settings Overrides of the default settings. */
  constructor(settings: Partial<FakeWeightStoreSettings> = {}) {
    super(fakeWeightStoreFaultsSchema);
    this.#settings = fakeWeightStoreSettingsSchema.parse(settings);
    this.#random = new SeededRandom(this.#settings.seed);
    const { loadsPerSecond, bytesPerSecond, concurrentLoads } = this.#settings;
    this.#loadRateLimiter = new TokenBucket(loadsPerSecond, performance.now());
    this.#transfers = new TransferScheduler({
      bytesPerMillisecond: bytesPerSecond / MILLISECONDS_PER_SECOND,
      concurrentAtFullSpeed: concurrentLoads,
    });
    this.#registerRoutes();
  }

  override readCounters(): FakeWeightStoreCounters {
    return { ...this.#counters };
  }

  override async close(): Promise<void> {
    clearTimeout(this.#transferTimer);
    await super.close();
  }

  #registerRoutes(): void {
    const path = "/v1/adapters/:adapter/versions/:version";
    this.application.get("/v1/limits", () => this.#readLimits());
    this.application.get(path, (request, reply) => {
      return this.#describeWeights(request, reply);
    });
    this.application.get(`${path}/weights`, (request, reply) => {
      return this.#handleLoad(request, reply);
    });
  }

  #readLimits(): WeightStoreLimits {
    const { loadsPerSecond, concurrentLoads } = this.#settings;
    return { loadsPerSecond, concurrentLoads };
  }

  #describeWeights(
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

  async #handleLoad(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const weights = this.#describeWeights(request, reply);
    if (!("bytes" in weights)) return weights;
    const waitMilliseconds = this.#loadRateLimiter.tryTake(performance.now());
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
    const isDropped = this.consumeFault("dropNextLoads");
    const isComplete = await this.#transfer(
      isDropped ? weights.bytes / 2 : weights.bytes,
      reply,
    );
    if (isDropped || !isComplete) {
      this.#counters.loadsFailed += 1;
      return dropConnection(reply);
    }
    const fails = this.consumeFault("failNextLoads") ||
      this.#random.happens(this.faults.failLoadProbability);
    if (fails) {
      this.#counters.loadsFailed += 1;
      return sendRefusal(reply, refusal("unavailable", "The load failed"));
    }
    this.#counters.loadsFinished += 1;
    return weights;
  }

  /**
   * Resolves to whether the transfer completed before the caller disconnected.
   */
  #transfer(bytes: number, reply: FastifyReply): Promise<boolean> {
    return new Promise((resolve) => {
      const now = performance.now();
      const onComplete = (): void => {
        reply.raw.off("close", onClose);
        resolve(true);
      };
      const stop = this.#transfers.start(bytes, { now, onComplete });
      const onClose = (): void => {
        stop(performance.now());
        this.#scheduleNextCompletion();
        resolve(false);
      };
      reply.raw.once("close", onClose);
      this.#counters.mostConcurrent = Math.max(
        this.#counters.mostConcurrent,
        this.#transfers.activeTransfers,
      );
      this.#scheduleNextCompletion();
    });
  }

  #scheduleNextCompletion(): void {
    clearTimeout(this.#transferTimer);
    const nextCompletion = this.#transfers.nextCompletionAt();
    if (nextCompletion === undefined) return;
    this.#transferTimer = setTimeout(() => {
      this.#transfers.advance(performance.now());
      this.#scheduleNextCompletion();
    }, Math.max(1, nextCompletion - performance.now()));
  }
}
