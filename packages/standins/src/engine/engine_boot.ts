import {
  engineId,
  fencingNumber,
  modelId,
  type RequestId,
} from "@foxtailwind/core";
import {
  type EngineLoadReport,
  type EngineState,
  type GenerateCall,
} from "@foxtailwind/edges";
import type { FastifyReply } from "fastify";
import type { SeededRandom } from "../shared/random.ts";
import { sendRefusal } from "../shared/refusal.ts";
import { CacheEventFeed } from "./cache_event_feed.ts";
import type { FakeEngineCounters } from "./counters.ts";
import type { Generation } from "./generation.ts";
import { GenerationDesk } from "./generation_desk.ts";
import { GenerationStream, type StreamFaults } from "./generation_stream.ts";
import { GenerationTable } from "./generation_table.ts";
import { type LoadFaults, OrderDesk } from "./order_desk.ts";
import { PrefixCache } from "./prefix_cache.ts";
import type { FakeEngineSettings } from "./settings.ts";
import { StepLoop, type StepSummary } from "./step_loop.ts";

/** The faults as one boot of the engine meets them. */
export interface BootFaults {
  readonly drawLoadFaults: () => LoadFaults;
  readonly drawWrongAdapter: () => boolean;
  /** Draws, at its start, after how many tokens a stream is dropped. */
  readonly drawDropAfterTokens: () => number | undefined;
  readonly readFrameFaults: () => Omit<StreamFaults, "dropAfterTokens">;
  readonly isFrozen: () => boolean;
  readonly isLeaving: () => boolean;
}

/** What one boot of the engine needs. */
export interface EngineBootOptions {
  readonly bootId: string;
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  readonly random: SeededRandom;
  readonly faults: BootFaults;
  /** Counts a start that is not the continuation of another engine's. */
  readonly countStart: (request: RequestId) => void;
}

/** All that an engine holds from one start to the next; a restart loses it. */
export class EngineBoot {
  readonly orders: OrderDesk;
  readonly generations: GenerationDesk;
  readonly table: GenerationTable;
  readonly cacheEvents: CacheEventFeed;
  readonly #options: EngineBootOptions;
  readonly #cache: PrefixCache;
  readonly #loop: StepLoop;
  readonly #reportTimer: NodeJS.Timeout;
  readonly #streams = new Set<GenerationStream>();
  #report: StepSummary & { readonly prefixCacheUsed: number };
  #reportedAt: number;

  /** @param options What the boot needs. */
  constructor(options: EngineBootOptions) {
    const { settings, counters, random, faults } = options;
    this.#options = options;
    this.table = new GenerationTable(settings);
    this.cacheEvents = new CacheEventFeed({
      lagMilliseconds: settings.cacheEventLagMilliseconds,
      gapProbability: settings.cacheEventGapProbability,
      random,
    });
    this.#cache = new PrefixCache(settings.prefixCacheTokens, (change) => {
      this.cacheEvents.record(change, performance.now());
    });
    this.orders = new OrderDesk({
      settings,
      counters,
      drawLoadFaults: faults.drawLoadFaults,
      killUsers: (adapter) => {
        this.generations.kill(adapter, performance.now());
      },
    });
    this.generations = new GenerationDesk({
      settings,
      counters,
      random,
      table: this.table,
      orders: this.orders,
      drawWrongAdapter: faults.drawWrongAdapter,
      isLeaving: faults.isLeaving,
      countStart: options.countStart,
    });
    this.#loop = new StepLoop({
      settings,
      table: this.table,
      counters,
      cache: this.#cache,
      readRole: () => this.orders.role,
      isFrozen: faults.isFrozen,
    });
    this.#report = this.#summarise();
    this.#reportedAt = performance.now();
    this.#reportTimer = setInterval(() => {
      this.#keepHouse(performance.now());
    }, settings.loadReportMilliseconds).unref();
  }

  /** Loses everything and closes the streams. */
  stop(): void {
    clearInterval(this.#reportTimer);
    this.#loop.stop();
    this.orders.stop();
    for (const stream of this.#streams) stream.drop();
  }

  /** Goes on after a freeze. */
  wake(): void {
    this.#loop.wake(performance.now());
  }

  /**
   * Answers a generation request with a stream, or refuses it.
   * @param call What is asked for.
   * @param reply The answer.
   * @returns The reply, for a handler to return.
   */
  generate(call: GenerateCall, reply: FastifyReply): FastifyReply {
    const now = performance.now();
    const accepted = this.generations.accept(call, now);
    if (accepted.isErr()) return sendRefusal(reply, accepted.error);
    this.#attach(accepted.value, call.fromSequence, reply);
    this.#loop.wake(now);
    return reply;
  }

  /**
   * Reads the engine's state.
   * @returns The state.
   */
  readState(): EngineState {
    const { highestFencing } = this.orders;
    const { settings, bootId, faults } = this.#options;
    return {
      engine: engineId(settings.id),
      bootId,
      model: modelId(this.orders.model),
      role: this.orders.role,
      adapterSlots: settings.adapterSlots,
      batchCapacity: settings.batchCapacity,
      resident: this.orders.slots.resident,
      loading: this.orders.slots.loading,
      running: [...this.table.live].map((generation) => ({
        request: generation.request,
        attempt: generation.attempt,
        adapter: generation.asked,
        generated: generation.generated,
      })),
      ...(highestFencing === undefined
        ? {}
        : { highestFencing: fencingNumber(highestFencing) }),
      leaving: faults.isLeaving(),
    };
  }

  /**
   * Reads the latest load report.
   * @param now Milliseconds of the process's steady clock.
   * @returns The report, with its age.
   */
  readLoad(now: number): EngineLoadReport {
    return {
      engine: engineId(this.#options.settings.id),
      bootId: this.#options.bootId,
      ...this.#report,
      ageMilliseconds: Math.max(0, now - this.#reportedAt),
    };
  }

  #attach(
    generation: Generation,
    fromSequence: number,
    reply: FastifyReply,
  ): void {
    generation.stream?.drop();
    const { random, settings, faults } = this.#options;
    const dropAfterTokens = faults.drawDropAfterTokens();
    const stream = new GenerationStream(generation, reply, {
      fromSequence,
      tokensPerFrame: settings.tokensPerFrame,
      random,
      readFaults: () => ({ ...faults.readFrameFaults(), dropAfterTokens }),
      onClosed: () => {
        this.#detach(generation, stream);
      },
    });
    this.#streams.add(stream);
    generation.stream = stream;
    stream.flush();
  }

  #detach(generation: Generation, stream: GenerationStream): void {
    this.#streams.delete(stream);
    if (generation.stream !== stream) return;
    generation.stream = undefined;
    generation.unreadSince = performance.now();
  }

  #keepHouse(now: number): void {
    this.#report = this.#summarise();
    this.#reportedAt = now;
    this.generations.cancelOrphans(now);
    this.table.prune(now);
  }

  #summarise(): StepSummary & { readonly prefixCacheUsed: number } {
    const prefixCacheUsed = this.#cache.usedShare;
    return { ...this.#loop.summarise(), prefixCacheUsed };
  }
}
