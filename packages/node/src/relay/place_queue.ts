import {
  AdmissionQueue,
  type AdmissionTerms,
  type Duration,
  elapsed,
  EngineOccupancy,
  type EnginePlaces,
  type Instant,
  milliseconds,
  type ServerStart,
} from "@foxtailwind/core";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { UseAnswer, UseRefusal } from "./engine_use.ts";
import type { WaitingUse } from "./waiting_use.ts";

/** Dependencies of `PlaceQueue`. */
export interface PlaceQueueParts {
  readonly clock: SteadyClock;
  /** Returns the engine's current start, if known. */
  readonly start: () => ServerStart | undefined;
  /** The number of requests that the engine runs concurrently. */
  readonly places: () => number;
  /** Called when the adapter of a request is no longer in use by it. */
  readonly onEnd: (use: WaitingUse) => void;
}

/**
 * Gives the places of one engine to requests whose adapters are loaded, and
 * spaces the prefills of their prompts.
 */
export class PlaceQueue {
  readonly occupancy = new EngineOccupancy();
  readonly #queue = new AdmissionQueue<WaitingUse>();
  readonly #running = new Set<AbortController>();
  readonly #parts: PlaceQueueParts;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: PlaceQueueParts) {
    this.#parts = parts;
  }

  /** How long a use of the engine lasts on the average. */
  get useTime(): Duration {
    return this.#queue.useTime;
  }

  /** Whether all places are in use. */
  get isFull(): boolean {
    return this.#places.free <= 0;
  }

  /**
   * Estimates how long a further request would wait.
   * @param now The present time.
   * @param terms Its terms, if they are known.
   * @returns The wait.
   */
  estimateWait(now: Instant, terms?: AdmissionTerms): Duration {
    const wait = terms === undefined
      ? this.#queue.expectedWait(now, this.#places)
      : this.#queue.estimateWait(now, terms, this.#places);
    return milliseconds(Math.round(wait));
  }

  /**
   * Records a request for a place, whether it is admitted or refused.
   * @param now The present time.
   * @param priority The priority of its class.
   */
  recordAsked(now: Instant, priority: number): void {
    this.#queue.recordAsked(now, priority);
  }

  /**
   * Adds a request whose adapter is in use by it.
   * @param use The request.
   */
  add(use: WaitingUse): void {
    this.#queue.add(use, use.terms);
    this.grantDue();
  }

  /**
   * Removes a request that was cancelled.
   * @param use The request.
   * @returns Whether it was queued.
   */
  delete(use: WaitingUse): boolean {
    if (!this.#queue.delete(use)) return false;
    this.#parts.onEnd(use);
    return true;
  }

  /** Grants the uses that may begin now, and schedules the next one. */
  grantDue(): void {
    const now = this.#parts.clock.now();
    for (const use of this.#queue.takeExpired(now)) {
      this.#parts.onEnd(use);
      const retryAfter = this.estimateWait(now, use.terms);
      use.end({ kind: "no_room", retryAfter }, "expired");
    }
    for (;;) {
      const use = this.#queue.next(now, this.#places);
      if (use === undefined) break;
      use.end(this.#grant(use), "granted");
    }
    this.#schedule(now);
  }

  /**
   * Refuses all waiting requests.
   * @param answer The refusal.
   */
  refuseAll(answer: UseRefusal): void {
    clearTimeout(this.#timer);
    for (const use of this.#queue.waiting) {
      this.delete(use);
      use.end(answer, "withdrawn");
    }
  }

  /** Ends all uses because the engine has restarted. */
  endUses(): void {
    for (const useEnd of this.#running) useEnd.abort();
    this.#running.clear();
  }

  #schedule(now: Instant): void {
    clearTimeout(this.#timer);
    const times = [
      this.isFull ? undefined : this.#queue.nextAt,
      this.#queue.nextExpiryAt,
    ].filter((at) => at !== undefined);
    if (times.length === 0) return;
    const delay = Math.max(1, Math.ceil(Math.min(...times) - now));
    this.#timer = setTimeout(() => {
      this.grantDue();
    }, delay);
  }

  #grant(use: WaitingUse): UseAnswer {
    const begunAt = this.#parts.clock.now();
    this.occupancy.begin();
    const useEnd = new AbortController();
    this.#running.add(useEnd);
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.#running.delete(useEnd);
      this.occupancy.end();
      this.#queue.recordUse(elapsed(begunAt, this.#parts.clock.now()));
      this.#parts.onEnd(use);
      this.grantDue();
    };
    return {
      kind: "granted",
      version: use.version,
      start: this.#parts.start(),
      endSignal: useEnd.signal,
      release,
    };
  }

  get #places(): EnginePlaces {
    return this.occupancy.places(this.#parts.places());
  }
}
