import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  assertInvariant,
  type Instant,
  instant,
  later,
  type RequestId,
  seconds,
} from "../shared/mod.ts";
import type {
  EngineCapacity,
  EngineDecision,
  QueuedRequest,
} from "./engine_event.ts";

interface Residence {
  readonly adapter: AdapterReference;
  state: "loading" | "resident" | "evicting";
  pins: number;
  lastUsed: Instant;
}

interface Waiting {
  readonly queued: QueuedRequest;
  readonly deadline: Instant;
}

const LOAD_RETRY = seconds(1);

/**
 * Decides for one engine: which adapters it holds and which requests run on
 * it. Only the engine's controlling node has one.
 */
export class EngineController {
  readonly #capacity: EngineCapacity;
  readonly #residences = new Map<AdapterKey, Residence>();
  readonly #running = new Map<RequestId, AdapterKey>();
  readonly #retryAt = new Map<AdapterKey, Instant>();
  #waiting: Waiting[] = [];

  /**
   * @param capacity What the engine can hold.
   * @param resident What the engine says that it holds already.
   */
  constructor(capacity: EngineCapacity, resident: readonly AdapterReference[]) {
    this.#capacity = capacity;
    for (const adapter of resident) {
      this.#residences.set(adapterKey(adapter), {
        adapter,
        state: "resident",
        pins: 0,
        lastUsed: instant(0),
      });
    }
  }

  /** How many requests wait. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** How many requests run. */
  get running(): number {
    return this.#running.size;
  }

  /**
   * Queues a request.
   * @param now The present time.
   * @param queued The request.
   */
  submit(now: Instant, queued: QueuedRequest): void {
    const deadline = instant(
      now + queued.firstTokenTarget - queued.waitedBefore,
    );
    this.#waiting.push({ queued, deadline });
  }

  /**
   * Forgets a request that waits.
   * @param request The request.
   * @returns Whether it waited here, and so will not run.
   */
  withdraw(request: RequestId): boolean {
    const before = this.#waiting.length;
    this.#waiting = this.#waiting.filter(
      (entry) => entry.queued.request !== request,
    );
    return this.#waiting.length < before;
  }

  /**
   * Takes note that a load ended.
   * @param now The present time.
   * @param load The adapter, and whether it is now resident.
   */
  loadEnded(
    now: Instant,
    load: { readonly adapter: AdapterReference; readonly loaded: boolean },
  ): void {
    const key = adapterKey(load.adapter);
    const residence = this.#residences.get(key);
    if (residence === undefined) return;
    if (load.loaded) {
      residence.state = "resident";
      residence.lastUsed = now;
      this.#retryAt.delete(key);
      return;
    }
    this.#residences.delete(key);
    this.#retryAt.set(key, later(now, LOAD_RETRY));
  }

  /**
   * Takes note that an eviction ended.
   * @param adapter The adapter.
   */
  evictionEnded(adapter: AdapterReference): void {
    this.#residences.delete(adapterKey(adapter));
  }

  /**
   * Takes note that a dispatched request ended, however it did.
   * @param now The present time.
   * @param request The request.
   */
  requestEnded(now: Instant, request: RequestId): void {
    const key = this.#running.get(request);
    if (key === undefined) return;
    this.#running.delete(request);
    const residence = this.#residences.get(key);
    if (residence === undefined) return;
    residence.pins -= 1;
    residence.lastUsed = now;
  }

  /**
   * Decides what to do now.
   * @param now The present time.
   * @returns The decisions, in the order in which to carry them out.
   */
  decide(now: Instant): readonly EngineDecision[] {
    const decisions: EngineDecision[] = [];
    this.#waiting.sort((left, right) => left.deadline - right.deadline);
    this.#dispatchResident(now, decisions);
    this.#loadMissing(now, decisions);
    return decisions;
  }

  #dispatchResident(now: Instant, decisions: EngineDecision[]): void {
    const kept: Waiting[] = [];
    for (const entry of this.#waiting) {
      const key = adapterKey(entry.queued.adapter);
      const residence = this.#residences.get(key);
      const free = this.#running.size < this.#capacity.batchCapacity;
      if (residence?.state !== "resident" || !free) {
        kept.push(entry);
        continue;
      }
      residence.pins += 1;
      residence.lastUsed = now;
      this.#running.set(entry.queued.request, key);
      decisions.push({
        kind: "dispatch",
        request: entry.queued.request,
        priority: -Math.round(entry.deadline),
      });
    }
    this.#waiting = kept;
  }

  #loadMissing(now: Instant, decisions: EngineDecision[]): void {
    for (const { queued } of this.#waiting) {
      const key = adapterKey(queued.adapter);
      if (this.#residences.has(key)) continue;
      if ((this.#retryAt.get(key) ?? now) > now) continue;
      if (this.#residences.size >= this.#capacity.adapterSlots) {
        this.#evictOldest(decisions);
        return;
      }
      this.#residences.set(key, {
        adapter: queued.adapter,
        state: "loading",
        pins: 0,
        lastUsed: now,
      });
      decisions.push({ kind: "load", adapter: queued.adapter });
    }
  }

  #evictOldest(decisions: EngineDecision[]): void {
    let oldest: Residence | undefined;
    for (const residence of this.#residences.values()) {
      if (residence.state === "evicting") return;
      if (residence.state !== "resident" || residence.pins > 0) continue;
      const older = oldest === undefined ||
        residence.lastUsed < oldest.lastUsed;
      if (older) oldest = residence;
    }
    if (oldest === undefined) return;
    assertInvariant(
      oldest.pins === 0,
      "serving_adapter_never_evicted",
      () => `${oldest.adapter.adapter} has ${oldest.pins} pins.`,
    );
    oldest.state = "evicting";
    decisions.push({ kind: "evict", adapter: oldest.adapter });
  }
}
