import type { EngineRole } from "@foxtailwind/edges";
import { chooseBatch, isParked, stepMilliseconds } from "./batch.ts";
import type { FakeEngineCounters } from "./counters.ts";
import type { Generation } from "./generation.ts";
import type { GenerationTable } from "./generation_table.ts";
import type { PrefixCache } from "./prefix_cache.ts";
import type { FakeEngineSettings } from "./settings.ts";

/** What the loop works on. */
export interface StepLoopOptions {
  readonly settings: FakeEngineSettings;
  readonly table: GenerationTable;
  readonly counters: FakeEngineCounters;
  readonly cache: PrefixCache;
  readonly readRole: () => EngineRole;
  readonly isFrozen: () => boolean;
}

/** How the loop went since it was last asked. */
export interface StepSummary {
  readonly running: number;
  readonly waiting: number;
  readonly stepMilliseconds: number;
  readonly batchFill: number;
}

/** A timer that fires late is caught up with, but only so far. */
const CATCH_UP_MILLISECONDS = 50;

/** Runs the batch, one step after another, while there is work. */
export class StepLoop {
  readonly #options: StepLoopOptions;
  #timer: NodeJS.Timeout | undefined;
  #batch: readonly Generation[] = [];
  #stepEndsAt = 0;
  #lastStepMilliseconds = 0;
  #stepsSinceSummary = 0;
  #fillSinceSummary = 0;

  /** @param options What the loop works on. */
  constructor(options: StepLoopOptions) {
    this.#options = options;
  }

  /**
   * Starts the next step unless one runs or there is nothing to do.
   * @param now Milliseconds of a steady clock.
   */
  wake(now: number): void {
    if (this.#timer !== undefined || this.#options.isFrozen()) return;
    this.#startStep(now);
  }

  /** Stops the loop. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#batch = [];
  }

  /**
   * Sums up the steps since the last summary.
   * @returns The summary.
   */
  summarise(): StepSummary {
    const steps = this.#stepsSinceSummary;
    const live = this.#options.table.live.size;
    const summary = {
      running: this.#batch.length,
      waiting: Math.max(0, live - this.#batch.length),
      stepMilliseconds: this.#lastStepMilliseconds,
      batchFill: steps === 0 ? 0 : this.#fillSinceSummary / steps,
    };
    this.#stepsSinceSummary = 0;
    this.#fillSinceSummary = 0;
    return summary;
  }

  #startStep(now: number): void {
    const { table, settings, counters } = this.#options;
    const role = this.#options.readRole();
    const able = [...table.live].filter((one) => !isParked(one, role));
    const batch = chooseBatch(able, settings.batchCapacity);
    counters.preemptions += countPreempted(this.#batch, { able, batch });
    this.#batch = batch;
    if (batch.length === 0) return;
    const prefillTokens = this.#lookUpPrefixes(batch);
    const duration = stepMilliseconds(batch.length, prefillTokens, settings);
    this.#count(batch.length, prefillTokens, duration);
    const late = now - this.#stepEndsAt;
    const start = late < CATCH_UP_MILLISECONDS ? this.#stepEndsAt : now;
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
      if (generation.prefilled) continue;
      const { adapter, prefixes, promptTokens } = generation;
      const cached = this.#options.cache.lookUp(adapter, prefixes);
      generation.cachedPromptTokens = cached;
      prefillTokens += promptTokens - cached;
    }
    return prefillTokens;
  }

  #count(sequences: number, prefillTokens: number, duration: number): void {
    const { counters, settings } = this.#options;
    counters.steps += 1;
    counters.sequenceSteps += sequences;
    counters.prefilledTokens += prefillTokens;
    this.#lastStepMilliseconds = duration;
    this.#stepsSinceSummary += 1;
    this.#fillSinceSummary += sequences / settings.batchCapacity;
  }

  #finishStep(batch: readonly Generation[], now: number): void {
    for (const generation of batch) {
      if (generation.ending !== undefined || generation.exported) continue;
      this.#advance(generation, now);
      generation.stream?.flush();
    }
  }

  #advance(generation: Generation, now: number): void {
    const { cache, counters, table } = this.#options;
    if (!generation.prefilled) {
      generation.prefilled = true;
      cache.store(generation.adapter, generation.prefixes);
      if (isParked(generation, this.#options.readRole())) return;
    }
    generation.generated += 1;
    counters.tokens += 1;
    if (generation.generated < generation.totalTokens) return;
    const finishReason = generation.stopsEarly ? "stop" : "length";
    generation.endWith(generation.regularEnding(finishReason), now);
    counters.generationsFinished += 1;
    table.retire(generation);
  }
}

function countPreempted(
  before: readonly Generation[],
  { able, batch }: {
    readonly able: readonly Generation[];
    readonly batch: readonly Generation[];
  },
): number {
  const isAble = new Set(able);
  const isKept = new Set(batch);
  return before.filter((one) => isAble.has(one) && !isKept.has(one)).length;
}
