import {
  type AdapterName,
  type Duration,
  EngineOccupancy,
  type EngineSlots,
  type Instant,
  later,
  milliseconds,
  PrefillQueue,
  type ServerStart,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import { AdapterWaiters } from "./adapter_waiters.ts";
import type { UseAnswer, UseRequest } from "./engine_use.ts";

/** Dependencies of `AdapterUses`. */
export interface AdapterUsesParts {
  readonly clock: SteadyClock;
  /** Returns the engine's current start, if known. */
  readonly start: () => ServerStart | undefined;
  /** Whether orders may be sent to the engine now or soon. */
  readonly canOrderSoon: () => boolean;
  /** Called when another order may have become due. */
  readonly onChange: () => void;
}

/** A request whose adapter is loaded and whose prompt waits for prefill. */
interface QueuedPrefill {
  /** `undefined` for the base model itself. */
  readonly name: AdapterName | undefined;
  readonly version: number;
  readonly answer: (answer: UseAnswer) => void;
}

/**
 * Grants uses of one engine's adapters. A request waits first until its adapter
 * is loaded, then until the engine may prefill its prompt.
 */
export class AdapterUses {
  readonly occupancy = new EngineOccupancy();
  readonly #slots: EngineSlots;
  readonly #parts: AdapterUsesParts;
  readonly #waiters = new AdapterWaiters();
  readonly #prefillQueue = new PrefillQueue<QueuedPrefill>();
  readonly #running = new Set<AbortController>();
  #prefillTimer: NodeJS.Timeout | undefined;

  /**
   * @param slots The engine's adapter slots.
   * @param parts The dependencies.
   */
  constructor(slots: EngineSlots, parts: AdapterUsesParts) {
    this.#slots = slots;
    this.#parts = parts;
  }

  /**
   * Estimates how long a further request would wait for its prefill.
   * @param now The present time.
   * @returns The expected wait.
   */
  expectedWait(now: Instant): Duration {
    const wait = this.#prefillQueue.wait(now) + this.occupancy.contentionDelay;
    return milliseconds(Math.round(wait));
  }

  /**
   * Requests a use, and waits while the adapter has to be loaded or other
   * prompts are prefilled first.
   * @param request The requested use.
   * @param signal Cancels the request.
   * @returns The answer.
   */
  async requestUse(
    request: UseRequest,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    if (request.adapter === undefined) {
      return await this.#waitForPrefill(request, undefined, 0, signal);
    }
    const name = { model: request.model, adapter: request.adapter };
    const { minimumVersion } = request;
    const version = this.#slots.acquire(this.#now(), name, minimumVersion);
    if (version !== undefined) {
      return await this.#waitForPrefill(request, name, version, signal);
    }
    const isLoadPending = this.#isLoadPending(name);
    if (!isLoadPending && !this.#slots.canLoad(this.#now(), name)) {
      return { kind: "no_room" };
    }
    if (!this.#parts.canOrderSoon()) return { kind: "no_room" };
    this.#slots.requestLoad(this.#now(), name, minimumVersion);
    const answer = this.#waiters.add(name, request, signal, () => {
      if (!this.#waiters.has(name)) this.#slots.cancelLoadRequest(name);
    });
    this.#parts.onChange();
    return await answer;
  }

  /** Queues the requests whose adapters are now loaded for prefill. */
  grantLoadedAdapters(): void {
    const now = this.#now();
    for (const { name, request, signal, answer } of this.#waiters.all) {
      const version = this.#slots.acquire(now, name, request.minimumVersion);
      if (version === undefined) continue;
      this.#slots.cancelLoadRequest(name);
      answer(this.#waitForPrefill(request, name, version, signal));
    }
  }

  /**
   * Refuses the requests that wait for an adapter which won't be loaded.
   * @param name The adapter.
   */
  refuseWaitersOf(name: AdapterName): void {
    for (const waiter of this.#waiters.all) {
      const isFor = waiter.name.adapter === name.adapter &&
        waiter.name.model === name.model;
      if (isFor) waiter.answer({ kind: "no_room" });
    }
  }

  /** Refuses all waiting requests with `no_room`, and cancels their loads. */
  refuseWaiting(): void {
    for (const { name } of this.#waiters.all) {
      this.#slots.cancelLoadRequest(name);
    }
    this.#waiters.answerAll({ kind: "no_room" });
    this.#refuseQueued({ kind: "no_room" });
  }

  /**
   * Ends all uses because the engine has restarted. Waiting requests are
   * refused and may be made again for the next start.
   */
  end(): void {
    this.refuseWaiting();
    for (const useEnd of this.#running) useEnd.abort();
    this.#running.clear();
  }

  /** Refuses all waiting requests because this node lost the ownership. */
  stop(): void {
    this.#waiters.answerAll({ kind: "not_owner" });
    this.#refuseQueued({ kind: "not_owner" });
  }

  /** Waits until the prompt may be prefilled; the adapter stays in use. */
  #waitForPrefill(
    request: UseRequest,
    name: AdapterName | undefined,
    version: number,
    signal: AbortSignal,
  ): Promise<UseAnswer> {
    return new Promise((resolve) => {
      const cancel = () => {
        if (!this.#prefillQueue.delete(queued)) return;
        this.#endUse(name);
        resolve({ kind: "no_room" });
      };
      const queued: QueuedPrefill = {
        name,
        version,
        answer: (answer) => {
          signal.removeEventListener("abort", cancel);
          resolve(answer);
        },
      };
      const now = this.#now();
      this.#prefillQueue.add(queued, {
        prefillTime: request.prefillTime,
        deadline: later(now, request.timeLeft),
        needsBreak: request.needsBreak,
      });
      signal.addEventListener("abort", cancel, { once: true });
      if (signal.aborted) cancel();
      this.#grantDuePrefills();
    });
  }

  /** Grants the uses that may be prefilled now, and schedules the next one. */
  #grantDuePrefills(): void {
    for (;;) {
      const queued = this.#prefillQueue.next(this.#now());
      if (queued === undefined) break;
      queued.answer(this.#grant(queued));
    }
    clearTimeout(this.#prefillTimer);
    const at = this.#prefillQueue.nextAt;
    if (at === undefined) return;
    this.#prefillTimer = setTimeout(() => {
      this.#grantDuePrefills();
    }, Math.max(1, at - this.#now()));
  }

  #refuseQueued(answer: Exclude<UseAnswer, { kind: "granted" }>): void {
    clearTimeout(this.#prefillTimer);
    for (const queued of this.#prefillQueue.waiting) {
      this.#prefillQueue.delete(queued);
      this.#endUse(queued.name);
      queued.answer(answer);
    }
  }

  #grant({ name, version }: QueuedPrefill): UseAnswer {
    this.occupancy.begin();
    const useEnd = new AbortController();
    this.#running.add(useEnd);
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.#running.delete(useEnd);
      this.occupancy.end();
      this.#endUse(name);
    };
    return {
      kind: "granted",
      version,
      start: this.#parts.start(),
      endSignal: useEnd.signal,
      release,
    };
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
