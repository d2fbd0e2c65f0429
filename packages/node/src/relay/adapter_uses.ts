import {
  type AdapterName,
  type AdmissionTerms,
  decideAdmission,
  type Duration,
  type EngineOccupancy,
  type EngineSlots,
  type Instant,
  milliseconds,
  type ServerStart,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import {
  type AdapterWaiter,
  AdapterWaiters,
  usesAdapter,
} from "./adapter_waiters.ts";
import type { AdmissionRecord } from "./admission_record.ts";
import type { UseAnswer, UseRefusal, UseRequest } from "./engine_use.ts";
import { PlaceQueue } from "./place_queue.ts";
import { admissionTerms, nameOf, WaitingUse } from "./waiting_use.ts";

/** Dependencies of `AdapterUses`. */
export interface AdapterUsesParts {
  readonly clock: SteadyClock;
  readonly record: AdmissionRecord;
  /** Returns the engine's current start, if known. */
  readonly start: () => ServerStart | undefined;
  /** The number of requests that the engine runs concurrently. */
  readonly places: () => number;
  /** Whether orders may be sent to the engine now or soon. */
  readonly canOrderSoon: () => boolean;
  /** Called when another order may have become due. */
  readonly onChange: () => void;
}

/**
 * Grants uses of one engine's adapters. A request waits first until its adapter
 * is loaded, then until it has a place and the engine may prefill its prompt.
 */
export class AdapterUses {
  readonly #slots: EngineSlots;
  readonly #parts: AdapterUsesParts;
  readonly #waiters = new AdapterWaiters();
  readonly #places: PlaceQueue;
  #expiryTimer: NodeJS.Timeout | undefined;

  /**
   * @param slots The engine's adapter slots.
   * @param parts The dependencies.
   */
  constructor(slots: EngineSlots, parts: AdapterUsesParts) {
    this.#slots = slots;
    this.#parts = parts;
    this.#places = new PlaceQueue({
      ...parts,
      onEnd: ({ name }) => {
        this.#endUse(name);
      },
    });
  }

  /** The requests that run on the engine. */
  get occupancy(): EngineOccupancy {
    return this.#places.occupancy;
  }

  /**
   * Estimates how long a further request would wait for its place and prefill.
   * @param now The present time.
   * @returns The expected wait.
   */
  expectedWait(now: Instant): Duration {
    const wait = this.#places.estimateWait(now) +
      this.occupancy.contentionDelay;
    return milliseconds(Math.round(wait));
  }

  /**
   * Requests a use, and waits while the adapter has to be loaded or other
   * requests go first.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @returns The answer.
   */
  async requestUse(
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    const now = this.#now();
    const terms = admissionTerms(now, request);
    this.#places.recordAsked(now, terms.priority);
    const refusal = this.#findRefusal(now, request, terms);
    if (refusal !== undefined) return refusal;
    const use = new WaitingUse(request, signal, (cancelled) => {
      this.#withdraw(cancelled);
    }, {
      arrivedAt: now,
      record: this.#parts.record,
      now: () => this.#now(),
    });
    this.#enqueue(now, use);
    return await use.answer;
  }

  /** Queues the requests whose adapters are now loaded for a place. */
  grantLoadedAdapters(): void {
    const now = this.#now();
    for (const waiter of this.#waiters.all) {
      const { name, request } = waiter;
      const version = this.#slots.acquire(now, name, request.minimumVersion);
      if (version === undefined) continue;
      this.#slots.cancelLoadRequest(name);
      this.#waiters.delete(waiter);
      waiter.version = version;
      this.#places.add(waiter);
    }
    this.#scheduleExpiry(now);
  }

  /**
   * Refuses the requests that wait for an adapter which won't be loaded.
   * @param name The adapter.
   */
  refuseWaitersOf(name: AdapterName): void {
    this.#refuse(this.#waiters.takeWaitersFor(name));
  }

  /** Refuses all waiting requests with `no_room`, and cancels their loads. */
  refuseWaiting(): void {
    for (const { name } of this.#waiters.all) {
      this.#slots.cancelLoadRequest(name);
    }
    this.#refuseAll({ kind: "no_room" });
  }

  /**
   * Ends all uses because the engine has restarted. Waiting requests are
   * refused and may be made again for the next start.
   */
  end(): void {
    this.refuseWaiting();
    this.#places.endUses();
  }

  /** Refuses all waiting requests because this node lost the ownership. */
  stop(): void {
    this.#refuseAll({ kind: "not_owner" });
  }

  #enqueue(now: Instant, use: WaitingUse): void {
    if (use.isCancelled) {
      use.end({ kind: "no_room" }, "withdrawn");
      return;
    }
    if (!usesAdapter(use)) {
      this.#places.add(use);
      return;
    }
    const { minimumVersion } = use.request;
    const version = this.#slots.acquire(now, use.name, minimumVersion);
    if (version !== undefined) {
      use.version = version;
      this.#places.add(use);
      return;
    }
    this.#waiters.add(use);
    this.#slots.requestLoad(
      now,
      use.name,
      minimumVersion,
      this.#waiters.urgencyOf(use.name),
    );
    this.#scheduleExpiry(now);
    this.#parts.onChange();
  }

  /** Removes a cancelled request, and a load that nobody else waits for. */
  #withdraw(use: WaitingUse): void {
    if (this.#places.delete(use)) {
      this.#places.grantDue();
      return;
    }
    if (!this.#waiters.delete(use) || !usesAdapter(use)) return;
    this.#cancelUnwantedLoad(use.name);
  }

  /** Refuses a request that can't begin in time, or not at all. */
  #findRefusal(
    now: Instant,
    request: UseRequest,
    terms: AdmissionTerms,
  ): UseRefusal | undefined {
    const { queueing } = request;
    if (queueing === undefined && this.#places.isFull) {
      return this.#recordRefusal(terms, "no_place");
    }
    const name = nameOf(request);
    const loadWait = name === undefined
      ? milliseconds(0)
      : this.#estimateLoad(now, name, request.minimumVersion);
    if (loadWait === undefined) return this.#recordRefusal(terms, "no_place");
    const wait = milliseconds(
      Math.max(loadWait, this.#places.estimateWait(now, terms)),
    );
    const refusal = decideAdmission(now, {
      terms,
      onlyInTime: queueing?.onlyInTime ?? false,
      wait,
    });
    if (refusal !== undefined) return this.#recordRefusal(terms, refusal, wait);
    const waitsForSlot = name !== undefined && loadWait > 0 &&
      !this.#isLoadPending(name) && !this.#slots.canLoad(now, name);
    return queueing === undefined && waitsForSlot
      ? this.#recordRefusal(terms, "no_place")
      : undefined;
  }

  /** Refuses requests that waited for adapters in vain. */
  #refuse(waiters: readonly AdapterWaiter[]): void {
    for (const waiter of waiters) {
      const { name, request } = waiter;
      const retryAfter = this.#slots.loadTime(name, request.minimumVersion);
      waiter.end({ kind: "no_room", retryAfter }, "expired");
    }
  }

  #recordRefusal(
    { priority }: AdmissionTerms,
    reason: "no_place" | "late",
    retryAfter?: Duration,
  ): UseRefusal {
    this.#parts.record.recordRefusal(priority, reason);
    return {
      kind: "no_room",
      ...(retryAfter === undefined ? {} : { retryAfter }),
    };
  }

  /**
   * Estimates how long an adapter takes to be usable.
   * @returns The time, or `undefined` if it can't be loaded here.
   */
  #estimateLoad(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
  ): Duration | undefined {
    const slot = this.#slots.find(name);
    if (slot?.state === "resident" && slot.version >= minimumVersion) {
      return milliseconds(0);
    }
    const loadTime = this.#slots.loadTime(name, minimumVersion);
    if (!this.#parts.canOrderSoon() || !this.#slots.canHold(name)) {
      return undefined;
    }
    if (this.#isLoadPending(name) || this.#slots.canLoad(now, name)) {
      return loadTime;
    }
    return milliseconds(this.#places.useTime + loadTime);
  }

  #scheduleExpiry(now: Instant): void {
    clearTimeout(this.#expiryTimer);
    const at = this.#waiters.nextExpiryAt;
    if (at === undefined) return;
    this.#expiryTimer = setTimeout(() => {
      this.#refuseExpired();
    }, Math.max(1, Math.ceil(at - now)));
  }

  #refuseExpired(): void {
    const now = this.#now();
    const expired = this.#waiters.takeExpired(now);
    this.#refuse(expired);
    for (const { name } of expired) this.#cancelUnwantedLoad(name);
    this.#scheduleExpiry(now);
  }

  #cancelUnwantedLoad(name: AdapterName): void {
    if (!this.#waiters.has(name)) this.#slots.cancelLoadRequest(name);
  }

  #refuseAll(answer: UseRefusal): void {
    clearTimeout(this.#expiryTimer);
    for (const waiter of this.#waiters.all) {
      this.#waiters.delete(waiter);
      waiter.end(answer, "withdrawn");
    }
    this.#places.refuseAll(answer);
  }

  #endUse(name: AdapterName | undefined): void {
    if (name !== undefined) this.#slots.release(this.#now(), name);
    if (this.#slots.pendingLoads > 0) this.#parts.onChange();
  }

  #isLoadPending(name: AdapterName): boolean {
    return this.#slots.find(name)?.state === "loading" ||
      this.#waiters.has(name);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
