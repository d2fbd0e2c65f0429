import {
  adapterVersion,
  type AttemptNumber,
  type RequestId,
} from "@foxtailwind/core";
import {
  type AdapterReference,
  type GenerateCall,
  hashPromptPrefixes,
  type ReportedFailure,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { SeededRandom } from "../shared/random.ts";
import { refusal } from "../shared/refusal.ts";
import { adapterKey } from "./adapter_key.ts";
import type { FakeEngineCounters } from "./counters.ts";
import { Generation } from "./generation.ts";
import type { GenerationTable } from "./generation_table.ts";
import { type ImportedKvCache, ImportedKvCaches } from "./kv_cache.ts";
import type { OrderExecutor } from "./order_executor.ts";
import type { FakeEngineSettings } from "./settings.ts";

/** The dependencies of a `GenerationManager`. */
export interface GenerationManagerOptions {
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  readonly random: SeededRandom;
  readonly table: GenerationTable;
  readonly orderExecutor: OrderExecutor;
  /** Draws whether the next generation runs on a wrong adapter. */
  readonly drawWrongAdapter: () => boolean;
  readonly isLeaving: () => boolean;
  /**
   * Called for each start that does not continue a generation of another
   * engine.
   */
  readonly onRequestStarted: (request: RequestId) => void;
}

type GenerationResult = Result<Generation, ReportedFailure>;

/** Accepts, resumes, cancels and kills generations. */
export class GenerationManager {
  readonly importedKvCaches = new ImportedKvCaches();
  readonly #options: GenerationManagerOptions;

  /** @param options The dependencies of a `GenerationManager`. */
  constructor(options: GenerationManagerOptions) {
    this.#options = options;
  }

  /**
   * Starts a generation, or resumes the existing one of the request.
   * @param call The generation request.
   * @param now A monotonic clock reading in milliseconds.
   * @returns The generation, or the refusal.
   */
  accept(call: GenerateCall, now: number): GenerationResult {
    const { table } = this.#options;
    if (table.wasCancelledEarly(call.request, call.attempt)) {
      return err(refusal("cancelled", "The attempt was cancelled before"));
    }
    const existing = table.findLatest(call.request);
    const isSameAttempt = existing?.attempt === call.attempt;
    if (existing !== undefined && (isSameAttempt || call.fromSequence > 0)) {
      return this.#resume(existing, call);
    }
    return this.#start(call, now);
  }

  /**
   * Cancels an attempt. One that has not arrived yet is refused when it does.
   * @param request The request.
   * @param options The attempt and the time.
   * @returns Whether the attempt is certain not to run any more: cancelled,
   * failed or to be refused on arrival. False if it completed before.
   */
  cancel(
    request: RequestId,
    options: { readonly attempt: AttemptNumber; readonly now: number },
  ): boolean {
    const { table, counters } = this.#options;
    const existing = table.findLatest(request);
    if (existing?.attempt !== options.attempt) {
      table.cancelEarly(request, options);
      return true;
    }
    if (existing.ending !== undefined) {
      return existing.ending.kind === "failure" ||
        existing.ending.end.finishReason === "cancelled";
    }
    counters.generationsCancelled += 1;
    existing.endWith(existing.createEnding("cancelled"), options.now);
    this.#finish(existing);
    return true;
  }

  /**
   * Ends generations with a failure because their adapter was evicted.
   * @param adapter The evicted adapter, or `undefined` for all generations.
   * @param now A monotonic clock reading in milliseconds.
   */
  killByAdapter(adapter: AdapterReference | undefined, now: number): void {
    const { table, counters } = this.#options;
    const killed = adapter === undefined
      ? [...table.active]
      : table.findActiveByAdapter(adapter);
    for (const generation of killed) {
      counters.evictedInUse += 1;
      const outcome = generation.generated > 0 ? "ran" : "not_run";
      const message = "The adapter was evicted";
      const failure = refusal("unavailable", message, { outcome });
      generation.endWith({ kind: "failure", failure }, now);
      this.#finish(generation);
    }
  }

  /**
   * Cancels generations that had no reader for `orphanMilliseconds`.
   * @param now A monotonic clock reading in milliseconds.
   */
  cancelOrphans(now: number): void {
    const { table, settings } = this.#options;
    const orphanedBefore = now - settings.orphanMilliseconds;
    for (
      const { stream, withoutReaderSince, request, attempt } of [
        ...table.active,
      ]
    ) {
      if (stream !== undefined || withoutReaderSince > orphanedBefore) continue;
      this.cancel(request, { attempt, now });
    }
  }

  #finish(generation: Generation): void {
    this.#options.table.deactivate(generation);
    generation.stream?.flush();
  }

  #resume(existing: Generation, call: GenerateCall): GenerationResult {
    if (adapterKey(existing.requestedAdapter) !== adapterKey(call.adapter)) {
      return err(refusal("mismatch", "The request runs on another adapter"));
    }
    if (call.fromSequence > existing.generated) {
      return err(refusal("invalid", "The sequence lies ahead"));
    }
    this.#options.counters.generationsResumed += 1;
    existing.attempt = call.attempt;
    existing.isExported = false;
    return ok(existing);
  }

  #start(call: GenerateCall, now: number): GenerationResult {
    const startFailure = this.#checkStart(call);
    if (startFailure !== undefined) return err(startFailure);
    const { table, counters } = this.#options;
    const imported = this.importedKvCaches.take(call.request, call.adapter);
    const importFailure = this.#checkImport(call, imported);
    if (importFailure !== undefined) return err(importFailure);
    const generation = new Generation(call, {
      adapter: this.#chooseAdapter(call.adapter),
      prefixes: hashPromptPrefixes(call.messages),
      totalTokens: imported?.totalTokens ?? this.#drawTotalTokens(call),
      importedTokens: imported?.generated,
      arrivedAt: now,
    });
    counters.generationsStarted += 1;
    if (imported === undefined) this.#options.onRequestStarted(call.request);
    if (this.#options.isLeaving()) counters.startedWhileLeaving += 1;
    table.add(generation);
    return ok(generation);
  }

  #checkStart(call: GenerateCall): ReportedFailure | undefined {
    const { orderExecutor, table, settings, counters } = this.#options;
    if (call.model !== orderExecutor.model) {
      return refusal("mismatch", `The model here is "${orderExecutor.model}"`);
    }
    if (!orderExecutor.slots.isResident(call.adapter)) {
      counters.refusedNotResident += 1;
      const key = adapterKey(call.adapter);
      return refusal("not_found", `Adapter "${key}" is not loaded`);
    }
    if (
      table.active.size >= settings.batchCapacity + settings.waitingCapacity
    ) {
      return refusal("overloaded", "Too many generations wait");
    }
    return undefined;
  }

  #checkImport(
    call: GenerateCall,
    imported: ImportedKvCache | undefined,
  ): ReportedFailure | undefined {
    if (call.fromSequence > (imported?.generated ?? 0)) {
      return refusal("not_found", "There is nothing to resume from");
    }
    if (
      this.#options.orderExecutor.role === "decode" && imported === undefined
    ) {
      return refusal("refused", "This engine decodes only");
    }
    return undefined;
  }

  #chooseAdapter(requested: AdapterReference): AdapterReference {
    if (!this.#options.drawWrongAdapter()) return requested;
    this.#options.counters.ranWrongAdapter += 1;
    const key = adapterKey(requested);
    const other = this.#options.orderExecutor.slots.resident.find((candidate) =>
      adapterKey(candidate) !== key
    );
    const version = adapterVersion(`${requested.version}-wrong`);
    return other ?? { adapter: requested.adapter, version };
  }

  #drawTotalTokens(call: GenerateCall): number {
    const { random, settings } = this.#options;
    if (!random.happens(settings.stopShare)) return call.maximumTokens;
    return 1 + Math.floor(random.next() * call.maximumTokens);
  }
}
