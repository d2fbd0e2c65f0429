import {
  adapterVersion,
  type AttemptNumber,
  type RequestId,
} from "@foxtailwind/core";
import {
  type AdapterReference,
  type GenerateCall,
  hashPromptPrefixes,
  type StatedFailure,
} from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { SeededRandom } from "../shared/random.ts";
import { refusal } from "../shared/refusal.ts";
import { adapterKey } from "./adapter_key.ts";
import type { FakeEngineCounters } from "./counters.ts";
import { Generation } from "./generation.ts";
import type { GenerationTable } from "./generation_table.ts";
import { ImportedKvCaches, type KvCache } from "./kv_cache.ts";
import type { OrderDesk } from "./order_desk.ts";
import type { FakeEngineSettings } from "./settings.ts";

/** What the desk works on. */
export interface GenerationDeskOptions {
  readonly settings: FakeEngineSettings;
  readonly counters: FakeEngineCounters;
  readonly random: SeededRandom;
  readonly table: GenerationTable;
  readonly orders: OrderDesk;
  /** Whether the next generation is to run on a wrong adapter. */
  readonly drawWrongAdapter: () => boolean;
  readonly isLeaving: () => boolean;
  /** Counts a start that is not the continuation of another engine's. */
  readonly countStart: (request: RequestId) => void;
}

type GenerationResult = Result<Generation, StatedFailure>;

/** Accepts, resumes, cancels and kills generations. */
export class GenerationDesk {
  readonly imports = new ImportedKvCaches();
  readonly #options: GenerationDeskOptions;

  /** @param options What the desk works on. */
  constructor(options: GenerationDeskOptions) {
    this.#options = options;
  }

  /**
   * Starts a generation, or finds the one to be resumed.
   * @param call What is asked for.
   * @param now Milliseconds of a steady clock.
   * @returns The generation, or why it is refused.
   */
  accept(call: GenerateCall, now: number): GenerationResult {
    const { table } = this.#options;
    if (table.wasCancelledEarly(call.request, call.attempt)) {
      return err(refusal("cancelled", "The attempt was cancelled before"));
    }
    const known = table.find(call.request);
    const isSameAttempt = known?.attempt === call.attempt;
    if (known !== undefined && (isSameAttempt || call.fromSequence > 0)) {
      return this.#resume(known, call);
    }
    return this.#start(call, now);
  }

  /**
   * Cancels an attempt, also one that has not arrived yet.
   * @param request The request.
   * @param options The attempt and the time.
   * @returns Whether it is certain not to run any more.
   */
  cancel(
    request: RequestId,
    options: { readonly attempt: AttemptNumber; readonly now: number },
  ): boolean {
    const { table, counters } = this.#options;
    const known = table.find(request);
    if (known?.attempt !== options.attempt) {
      table.cancelEarly(request, options);
      return true;
    }
    if (known.ending !== undefined) {
      return known.ending.kind === "failure" ||
        known.ending.end.finishReason === "cancelled";
    }
    counters.generationsCancelled += 1;
    known.endWith(known.regularEnding("cancelled"), options.now);
    this.#finish(known);
    return true;
  }

  /**
   * Ends generations with an error, as an eviction does.
   * @param adapter Whose generations; all where it is `undefined`.
   * @param now Milliseconds of a steady clock.
   */
  kill(adapter: AdapterReference | undefined, now: number): void {
    const { table, counters } = this.#options;
    const killed = adapter === undefined
      ? [...table.live]
      : table.using(adapter);
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
   * Cancels generations that nobody has read for too long.
   * @param now Milliseconds of a steady clock.
   */
  cancelOrphans(now: number): void {
    const { table, settings } = this.#options;
    const oldest = now - settings.orphanMilliseconds;
    for (const { stream, unreadSince, request, attempt } of [...table.live]) {
      if (stream !== undefined || unreadSince > oldest) continue;
      this.cancel(request, { attempt, now });
    }
  }

  #finish(generation: Generation): void {
    this.#options.table.retire(generation);
    generation.stream?.flush();
  }

  #resume(known: Generation, call: GenerateCall): GenerationResult {
    if (adapterKey(known.asked) !== adapterKey(call.adapter)) {
      return err(refusal("mismatch", "The request runs on another adapter"));
    }
    if (call.fromSequence > known.generated) {
      return err(refusal("invalid", "The sequence lies ahead"));
    }
    this.#options.counters.generationsResumed += 1;
    known.attempt = call.attempt;
    known.exported = false;
    return ok(known);
  }

  #start(call: GenerateCall, now: number): GenerationResult {
    const refused = this.#checkStart(call);
    if (refused !== undefined) return err(refused);
    const { table, counters } = this.#options;
    const imported = this.imports.take(call.request, call.adapter);
    const missing = this.#checkImport(call, imported);
    if (missing !== undefined) return err(missing);
    const generation = new Generation(call, {
      adapter: this.#chooseAdapter(call.adapter),
      prefixes: hashPromptPrefixes(call.messages),
      totalTokens: imported?.totalTokens ?? this.#drawLength(call),
      importedTokens: imported?.generated,
      arrival: now,
    });
    counters.generationsStarted += 1;
    if (imported === undefined) this.#options.countStart(call.request);
    if (this.#options.isLeaving()) counters.startedWhileLeaving += 1;
    table.add(generation);
    return ok(generation);
  }

  #checkStart(call: GenerateCall): StatedFailure | undefined {
    const { orders, table, settings, counters } = this.#options;
    if (call.model !== orders.model) {
      return refusal("mismatch", `The model here is "${orders.model}"`);
    }
    if (!orders.slots.isResident(call.adapter)) {
      counters.refusedNotResident += 1;
      const key = adapterKey(call.adapter);
      return refusal("not_found", `Adapter "${key}" is not loaded`);
    }
    if (table.live.size >= settings.batchCapacity + settings.waitingCapacity) {
      return refusal("overloaded", "Too many generations wait");
    }
    return undefined;
  }

  #checkImport(
    call: GenerateCall,
    imported: KvCache | undefined,
  ): StatedFailure | undefined {
    if (call.fromSequence > (imported?.generated ?? 0)) {
      return refusal("not_found", "There is nothing to resume from");
    }
    if (this.#options.orders.role === "decode" && imported === undefined) {
      return refusal("refused", "This engine decodes only");
    }
    return undefined;
  }

  #chooseAdapter(asked: AdapterReference): AdapterReference {
    if (!this.#options.drawWrongAdapter()) return asked;
    this.#options.counters.ranWrongAdapter += 1;
    const key = adapterKey(asked);
    const other = this.#options.orders.slots.resident.find((one) =>
      adapterKey(one) !== key
    );
    const version = adapterVersion(`${asked.version}-wrong`);
    return other ?? { adapter: asked.adapter, version };
  }

  #drawLength(call: GenerateCall): number {
    const { random, settings } = this.#options;
    if (!random.happens(settings.stopShare)) return call.maximumTokens;
    return 1 + Math.floor(random.next() * call.maximumTokens);
  }
}
