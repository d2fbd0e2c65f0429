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
import { GenerationManager } from "./generation_manager.ts";
import { GenerationStream, type StreamFaults } from "./generation_stream.ts";
import { GenerationTable } from "./generation_table.ts";
import { type LoadFaults, OrderExecutor } from "./order_executor.ts";
import { PrefixCache } from "./prefix_cache.ts";
import type { FakeEngineSettings } from "./settings.ts";
import { StepLoop, type StepSummary } from "./step_loop.ts";

/** The faults that apply to one boot of the engine. */
export interface BootFaults {
  readonly drawLoadFaults: () => LoadFaults;
  readonly drawWrongAdapter: () => boolean;
  /**
   * Draws, at the start of a stream, the number of tokens after which its
   * connection is dropped.
   */
  readonly drawDropAfterTokens: () => number | undefined;
  readonly readFrameFaults: () => Omit<StreamFaults, "dropAfterTokens">;
  readonly isFrozen: () => boolean;
  readonly isLeaving: () => boolean;
}

/** The dependencies of an `EngineBoot`. */
export interface EngineBootOptions {
  readonly bootId: string;
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  readonly random: SeededRandom;
  readonly faults: BootFaults;
  /**
   * Called for each start that does not continue a generation of another
   * engine.
   */
  readonly onRequestStarted: (request: RequestId) => void;
}

/** The state of an engine between two starts. A restart discards it. */
export class EngineBoot {
  readonly orderExecutor: OrderExecutor;
  readonly generationManager: GenerationManager;
  readonly generationTable: GenerationTable;
  readonly cacheEvents: CacheEventFeed;
  readonly #options: EngineBootOptions;
  readonly #prefixCache: PrefixCache;
  readonly #stepLoop: StepLoop;
  readonly #maintenanceTimer: NodeJS.Timeout;
  readonly #streams = new Set<GenerationStream>();
  #loadReport: StepSummary & { readonly prefixCacheUsed: number };
  #loadReportedAt: number;

  /** @param options The dependencies. */
  constructor(options: EngineBootOptions) {
    const { settings, counters, random, faults } = options;
    this.#options = options;
    this.generationTable = new GenerationTable(settings);
    this.cacheEvents = new CacheEventFeed({
      lagMilliseconds: settings.cacheEventLagMilliseconds,
      gapProbability: settings.cacheEventGapProbability,
      random,
    });
    this.#prefixCache = new PrefixCache(
      settings.prefixCacheTokens,
      (change) => {
        this.cacheEvents.record(change, performance.now());
      },
    );
    this.orderExecutor = new OrderExecutor({
      settings,
      counters,
      drawLoadFaults: faults.drawLoadFaults,
      killGenerations: (adapter) => {
        this.generationManager.killByAdapter(adapter, performance.now());
      },
    });
    this.generationManager = new GenerationManager({
      settings,
      counters,
      random,
      table: this.generationTable,
      orderExecutor: this.orderExecutor,
      drawWrongAdapter: faults.drawWrongAdapter,
      isLeaving: faults.isLeaving,
      onRequestStarted: options.onRequestStarted,
    });
    this.#stepLoop = new StepLoop({
      settings,
      table: this.generationTable,
      counters,
      prefixCache: this.#prefixCache,
      readRole: () => this.orderExecutor.role,
      isFrozen: faults.isFrozen,
    });
    this.#loadReport = this.#summarizeLoad();
    this.#loadReportedAt = performance.now();
    this.#maintenanceTimer = setInterval(() => {
      this.#runMaintenance(performance.now());
    }, settings.loadReportMilliseconds).unref();
  }

  /** Stops the steps, aborts the loads and closes the streams. */
  stop(): void {
    clearInterval(this.#maintenanceTimer);
    this.#stepLoop.stop();
    this.orderExecutor.stop();
    for (const stream of this.#streams) stream.drop();
  }

  /** Continues the steps after a freeze. */
  wake(): void {
    this.#stepLoop.wake(performance.now());
  }

  /**
   * Responds to a generation request with a stream, or refuses it.
   * @param call The generation request.
   * @param reply The HTTP response.
   * @returns The reply, for a handler to return.
   */
  generate(call: GenerateCall, reply: FastifyReply): FastifyReply {
    const now = performance.now();
    const accepted = this.generationManager.accept(call, now);
    if (accepted.isErr()) return sendRefusal(reply, accepted.error);
    this.#attachStream(accepted.value, call.fromSequence, reply);
    this.#stepLoop.wake(now);
    return reply;
  }

  /**
   * Reads the engine's state.
   * @returns The state.
   */
  readState(): EngineState {
    const { highestFencing } = this.orderExecutor;
    const { settings, bootId, faults } = this.#options;
    return {
      engine: engineId(settings.id),
      bootId,
      model: modelId(this.orderExecutor.model),
      role: this.orderExecutor.role,
      adapterSlots: settings.adapterSlots,
      batchCapacity: settings.batchCapacity,
      resident: this.orderExecutor.slots.resident,
      loading: this.orderExecutor.slots.loading,
      running: [...this.generationTable.active].map((generation) => ({
        request: generation.request,
        attempt: generation.attempt,
        adapter: generation.requestedAdapter,
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
   * @param now A reading of the process's monotonic clock in milliseconds.
   * @returns The report and its age.
   */
  readLoad(now: number): EngineLoadReport {
    return {
      engine: engineId(this.#options.settings.id),
      bootId: this.#options.bootId,
      ...this.#loadReport,
      ageMilliseconds: Math.max(0, now - this.#loadReportedAt),
    };
  }

  #attachStream(
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
        this.#detachStream(generation, stream);
      },
    });
    this.#streams.add(stream);
    generation.stream = stream;
    stream.flush();
  }

  #detachStream(generation: Generation, stream: GenerationStream): void {
    this.#streams.delete(stream);
    if (generation.stream !== stream) return;
    generation.stream = undefined;
    generation.withoutReaderSince = performance.now();
  }

  #runMaintenance(now: number): void {
    this.#loadReport = this.#summarizeLoad();
    this.#loadReportedAt = now;
    this.generationManager.cancelOrphans(now);
    this.generationTable.prune(now);
  }

  #summarizeLoad(): StepSummary & { readonly prefixCacheUsed: number } {
    const prefixCacheUsed = this.#prefixCache.usedFraction;
    return { ...this.#stepLoop.summarize(), prefixCacheUsed };
  }
}
