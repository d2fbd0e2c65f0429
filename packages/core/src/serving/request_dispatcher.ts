import {
  chooseDisplaced,
  type OwnHistory,
  type RequestBook,
  TARGET_RATIO,
  type WaitingRequest,
} from "../dispatch/mod.ts";
import type { EngineResidency } from "../residency/mod.ts";
import { elapsed, type Instant, milliseconds } from "../shared/mod.ts";
import type { EngineDecision } from "./engine_event.ts";

/** What a dispatcher works on. */
export interface RequestDispatcherParts {
  readonly book: RequestBook;
  readonly residency: EngineResidency;
  readonly history: OwnHistory;
  /** Counts the places of the batch that requests may take. */
  readonly places: () => number;
}

/** Gives the places of one engine's batch to requests, least slack first. */
export class RequestDispatcher {
  readonly #parts: RequestDispatcherParts;

  /** @param parts What to work on. */
  constructor(parts: RequestDispatcherParts) {
    this.#parts = parts;
  }

  /**
   * Dispatches while there are places, or work that gives way.
   * @param now The present time.
   * @param decisions Receives the decisions.
   */
  dispatch(now: Instant, decisions: EngineDecision[]): void {
    for (;;) {
      const request = this.#parts.book.ready.peek(now);
      if (request === undefined) return;
      if (this.#parts.book.running.size >= this.#parts.places()) {
        const displaced = this.#chooseDisplaced(now, request);
        if (displaced === undefined) return;
        this.#parts.book.displace(displaced);
        const id = displaced.queued.request;
        decisions.push({ kind: "preempt", request: id });
      }
      decisions.push(this.#start(now, request));
    }
  }

  #start(now: Instant, request: WaitingRequest): EngineDecision {
    const queueWait = elapsed(request.submittedAt, now) - request.loadStall;
    if (!request.displaced) this.#parts.residency.pin(now, request.key);
    this.#parts.book.start(now, request);
    this.#parts.history.record(now, this.#parts.book.atEngine);
    return {
      kind: "dispatch",
      request: request.queued.request,
      priority: -Math.round(request.deadline),
      queueWait: milliseconds(queueWait),
      loadStall: request.loadStall,
    };
  }

  #chooseDisplaced(
    now: Instant,
    urgent: WaitingRequest,
  ): WaitingRequest | undefined {
    const longEnough = TARGET_RATIO * urgent.target;
    if (this.#parts.book.runningAtLeast(longEnough) === 0) return undefined;
    return chooseDisplaced(now, this.#parts.book.running, urgent);
  }
}
