import type { EngineRole } from "@foxtailwind/edges";
import { chooseBatch, computeStepMilliseconds, isParked } from "./batch.ts";
import type { FakeEngineCounters } from "./counters.ts";
import type { Generation } from "./generation.ts";
import type { GenerationTable } from "./generation_table.ts";
import type { PrefixCache } from "./prefix_cache.ts";
import type { FakeEngineSettings } from "./settings.ts";

/** The dependencies of a `StepLoop`. */
export interface StepLoopOptions {
  readonly settings: FakeEngineSettings;
  readonly table: GenerationTable;
  readonly counters: FakeEngineCounters;
  readonly prefixCache: PrefixCache;
  readonly readRole: () => EngineRole;
  readonly isFrozen: () => boolean;
}

/** A summary of the steps since the previous summary. */
export interface StepSummary {
  readonly running: number;
  readonly waiting: number;
  readonly stepMilliseconds: number;
  readonly batchFill: number;
}

/**
 * To catch up with a late timer, a step starts at the scheduled end of the
 * previous one, unless the delay reaches this limit.
 */
const MAXIMUM_CATCH_UP_MILLISECONDS = 50;

/** Runs the steps of the batch one after another while there is work. */
export class StepLoop {
  readonly #options: StepLoopOptions;
  #timer: NodeJS.Timeout | undefined;
  #currentBatch: readonly Generation[] = [];
  #stepEndsAt = 0;
  #lastStepMilliseconds = 0;
  #stepsSinceSummary = 0;
  #batchFillSinceSummary = 0;

  /** @param options The dependencies of a `StepLoop`. */
  constructor(options: StepLoopOptions) {
    this.#options = options;
  }

  /**
   * Starts the next step unless one is running, the engine is frozen or there
   * is no work.
   * @param now A monotonic clock reading in milliseconds.
   */
  wake(now: number): void {
    if (this.#timer !== undefined || this.#options.isFrozen()) return;
    this.#startStep(now);
  }

  /** Stops the loop. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#currentBatch = [];
  }

  /**
   * Summarizes the steps since the previous summary.
   * @returns The summary.
   */
  summarize(): StepSummary {
    const steps = this.#stepsSinceSummary;
    const activeCount = this.#options.table.active.size;
    const summary = {
      running: this.#currentBatch.length,
      waiting: Math.max(0, activeCount - this.#currentBatch.length),
      stepMilliseconds: this.#lastStepMilliseconds,
      batchFill: steps === 0 ? 0 : this.#batchFillSinceSummary / steps,
    };
    this.#stepsSinceSummary = 0;
    this.#batchFillSinceSummary = 0;
    return summary;
  }

  #startStep(now: number): void {
    const { table, settings, counters } = this.#options;
    const role = this.#options.readRole();
    const runnable = [...table.active].filter((generation) =>
      !isParked(generation, role)
    );
    const batch = chooseBatch(runnable, settings.batchCapacity);
    counters.preemptions += countPreempted(this.#currentBatch, {
      runnable,
      batch,
    });
    this.#currentBatch = batch;
    if (batch.length === 0) return;
    const prefillTokens = this.#lookUpPrefixes(batch);
    const duration = computeStepMilliseconds(
      batch.length,
      prefillTokens,
      settings,
    );
    this.#countStep(batch.length, prefillTokens, duration);
    const lateness = now - this.#stepEndsAt;
    const start = lateness < MAXIMUM_CATCH_UP_MILLISECONDS
      ? this.#stepEndsAt
      : now;
    this.#stepEndsAt = start + duration;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#options.isFrozen()) return;
      const finishedAt = performance.now();
      this.#finishStep(batch, finishedAt);
      this.#startStep(finishedAt);
    }, Math.max(0, this.#stepEndsAt - now));
  }

  #lookUpPrefixes(batch: readonly Generation[]): number {
    let prefillTokens = 0;
    for (const generation of batch) {
      if (generation.isPrefilled) continue;
      const { adapter, prefixes, promptTokens } = generation;
      const cached = this.#options.prefixCache.lookUp(adapter, prefixes);
      generation.cachedPromptTokens = cached;
      prefillTokens += promptTokens - cached;
    }
    return prefillTokens;
  }

  #countStep(sequences: number, prefillTokens: number, duration: number): void {
    const { counters, settings } = this.#options;
    counters.steps += 1;
    counters.sequenceSteps += sequences;
    counters.prefilledTokens += prefillTokens;
    this.#lastStepMilliseconds = duration;
    this.#stepsSinceSummary += 1;
    this.#batchFillSinceSummary += sequences / settings.batchCapacity;
  }

  #finishStep(batch: readonly Generation[], now: number): void {
    for (const generation of batch) {
      if (generation.ending !== undefined || generation.isExported) continue;
      this.#advanceGeneration(generation, now);
      generation.stream?.flush();
    }
  }

  #advanceGeneration(generation: Generation, now: number): void {
    const { prefixCache, counters, table } = this.#options;
    if (!generation.isPrefilled) {
      generation.isPrefilled = true;
      prefixCache.store(generation.adapter, generation.prefixes);
      if (isParked(generation, this.#options.readRole())) return;
    }
    generation.generated += 1;
    counters.tokens += 1;
    if (generation.generated < generation.totalTokens) return;
    const finishReason = generation.stopsEarly ? "stop" : "length";
    generation.endWith(generation.createEnding(finishReason), now);
    counters.generationsFinished += 1;
    table.deactivate(generation);
  }
}

function countPreempted(
  previousBatch: readonly Generation[],
  { runnable, batch }: {
    readonly runnable: readonly Generation[];
    readonly batch: readonly Generation[];
  },
): number {
  const runnableSet = new Set(runnable);
  const batchSet = new Set(batch);
  return previousBatch.filter((generation) =>
    runnableSet.has(generation) && !batchSet.has(generation)
  ).length;
}
