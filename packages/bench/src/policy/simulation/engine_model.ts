import {
  type AdapterKey,
  adapterKey,
  assertInvariant,
  type Instant,
  instant,
  type RequestId,
} from "@foxtailwind/core";
import { sum } from "../report/summary_statistics.ts";
import type { EngineProfile, WorkloadRequest } from "../workloads/workload.ts";
import { PREFILL_TOKENS_A_STEP, stepMilliseconds } from "./engine_timing.ts";
import type { EventQueue } from "./event_queue.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** What an engine tells of its requests. */
export interface EngineListener {
  firstToken(request: RequestId): void;
  ended(request: RequestId, generatedTokens: number): void;
  prefixStored(work: WorkloadRequest): void;
}

interface Sequence {
  readonly work: WorkloadRequest;
  readonly key: AdapterKey;
  readonly priority: number;
  started: boolean;
  prefillLeft: number;
  generated: number;
}

/** How the steps of an engine were used. */
export interface StepUse {
  steps: number;
  sequences: number;
  places: number;
}

type Residence = "loading" | "resident" | "evicting";

/** An engine with continuous batching, as small functions of time. */
export class EngineModel {
  readonly profile: EngineProfile;
  readonly use: StepUse = { steps: 0, sequences: 0, places: 0 };
  readonly #queue: EventQueue;
  readonly #listener: EngineListener;
  readonly #residences = new Map<AdapterKey, Residence>();
  readonly #prefixes: PrefixCache;
  /** Requests that gave their place up. */
  readonly #held = new Map<RequestId, Sequence>();
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  #stepping = false;
  #stopped = false;
  #lastStep = 0;

  /**
   * @param queue The virtual time.
   * @param profile How it behaves.
   * @param listener Whom it tells.
   */
  constructor(
    queue: EventQueue,
    { profile, listener }: {
      readonly profile: EngineProfile;
      readonly listener: EngineListener;
    },
  ) {
    this.#queue = queue;
    this.profile = profile;
    this.#listener = listener;
    this.#prefixes = new PrefixCache(profile.prefixCacheTokens);
  }

  /** What the engine reports of itself. */
  get report(): { running: number; waiting: number; stepTime: number } {
    return {
      running: this.#running.length,
      waiting: this.#waiting.length + this.#held.size,
      stepTime: this.#lastStep,
    };
  }

  /**
   * Begins to hold an adapter, in a slot of its own.
   * @param key The adapter's key.
   */
  loadStarted(key: AdapterKey): void {
    const { adapterSlots } = this.profile.capacity;
    const free = this.#residences.size < adapterSlots;
    assertInvariant(free, "slots_never_exceeded", () => key);
    const absent = !this.#residences.has(key);
    assertInvariant(absent, "never_loaded_twice", () => key);
    this.#residences.set(key, "loading");
  }

  /**
   * Takes the end of a load.
   * @param key The adapter's key.
   * @param loaded Whether the adapter is resident now.
   */
  loadEnded(key: AdapterKey, loaded: boolean): void {
    if (loaded) this.#residences.set(key, "resident");
    else this.#residences.delete(key);
  }

  /**
   * Begins to evict an adapter that serves nothing.
   * @param key The adapter's key.
   */
  evictionStarted(key: AdapterKey): void {
    const resident = this.#residences.get(key) === "resident";
    assertInvariant(resident, "evicts_only_residents", () => key);
    const serving = this.#sequences().some((entry) => entry.key === key);
    assertInvariant(!serving, "serving_adapter_never_evicted", () => key);
    this.#residences.set(key, "evicting");
  }

  /**
   * Takes the end of an eviction.
   * @param key The adapter's key.
   */
  evictionEnded(key: AdapterKey): void {
    this.#residences.delete(key);
  }

  /**
   * Takes a request on, which runs when a place of the batch is free.
   * @param work The request.
   * @param priority The higher, the sooner it gets a place.
   */
  dispatch(work: WorkloadRequest, priority: number): void {
    const key = adapterKey(work.adapter);
    const resident = this.#residences.get(key) === "resident";
    assertInvariant(resident, "right_adapter", () => work.request);
    this.#enqueue({
      work,
      key,
      priority,
      started: false,
      prefillLeft: work.promptTokens,
      generated: 0,
    });
  }

  /**
   * Gives a request's place up; the engine holds it, and its adapter.
   * @param request The request.
   */
  preempt(request: RequestId): void {
    const found = [...this.#running, ...this.#waiting]
      .find((entry) => entry.work.request === request);
    assertInvariant(
      found !== undefined,
      "preempts_own_requests",
      () => request,
    );
    this.#running = this.#running.filter((entry) => entry !== found);
    this.#waiting = this.#waiting.filter((entry) => entry !== found);
    this.#held.set(request, found);
  }

  /**
   * Lets a held request run on when a place of the batch is free.
   * @param request The request.
   * @param priority The higher, the sooner it gets a place.
   */
  resume(request: RequestId, priority: number): void {
    const found = this.#held.get(request);
    assertInvariant(found !== undefined, "resumes_held", () => request);
    this.#held.delete(request);
    this.#enqueue({ ...found, priority });
  }

  /**
   * Ends the engine's run.
   * @returns The requests that had not ended.
   */
  stop(): readonly RequestId[] {
    this.#stopped = true;
    return this.#sequences().map((entry) => entry.work.request);
  }

  #sequences(): readonly Sequence[] {
    return [...this.#running, ...this.#waiting, ...this.#held.values()];
  }

  #enqueue(entry: Sequence): void {
    this.#waiting.push(entry);
    this.#waiting.sort((left, right) => right.priority - left.priority);
    this.#step();
  }

  #step(): void {
    if (this.#stepping || this.#stopped) return;
    this.#admit();
    if (this.#running.length === 0) return;
    this.#stepping = true;
    const batch = [...this.#running];
    const prefill = sharePrefill(batch);
    this.#lastStep = stepMilliseconds({
      sequences: batch.length,
      prefillTokens: sum([...prefill.values()]),
      distinctAdapters: new Set(batch.map((entry) => entry.key)).size,
    }, this.profile.speed);
    this.use.steps += 1;
    this.use.sequences += batch.length;
    this.use.places += this.profile.capacity.batchCapacity;
    const due: Instant = instant(this.#queue.now + this.#lastStep);
    this.#queue.schedule(due, () => {
      this.#stepEnded(batch, prefill);
    });
  }

  #admit(): void {
    const { batchCapacity } = this.profile.capacity;
    while (this.#running.length < batchCapacity) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      if (!next.started) this.#start(next);
      this.#running.push(next);
    }
  }

  #start(entry: Sequence): void {
    const { work } = entry;
    const hit = this.#prefixes.use({
      key: work.prefixHash,
      tokens: work.prefixTokens,
    });
    entry.started = true;
    if (hit) entry.prefillLeft -= work.prefixTokens;
    else this.#listener.prefixStored(work);
  }

  #stepEnded(
    batch: readonly Sequence[],
    prefill: ReadonlyMap<Sequence, number>,
  ): void {
    this.#stepping = false;
    if (this.#stopped) return;
    for (const entry of batch) {
      if (!this.#running.includes(entry)) continue;
      this.#advance(entry, prefill.get(entry) ?? 0);
    }
    this.#step();
  }

  #advance(entry: Sequence, prefilled: number): void {
    const { request, outputTokens } = entry.work;
    entry.prefillLeft -= prefilled;
    if (entry.prefillLeft > 0) return;
    entry.generated += 1;
    if (entry.generated === 1) this.#listener.firstToken(request);
    if (entry.generated < outputTokens) return;
    this.#running = this.#running.filter((other) => other !== entry);
    this.#listener.ended(request, entry.generated);
  }
}

/** The most urgent prompts come first, as engines with priorities do. */
function sharePrefill(
  batch: readonly Sequence[],
): ReadonlyMap<Sequence, number> {
  const shares = new Map<Sequence, number>();
  let budget = PREFILL_TOKENS_A_STEP;
  const waiting = batch.filter((entry) => entry.prefillLeft > 0)
    .sort((left, right) => right.priority - left.priority);
  for (const entry of waiting) {
    const tokens = Math.min(budget, entry.prefillLeft);
    budget -= tokens;
    shares.set(entry, tokens);
  }
  return shares;
}
