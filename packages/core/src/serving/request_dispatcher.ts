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

/** The dependencies of a request dispatcher. */
export interface RequestDispatcherParts {
  readonly book: RequestBook;
  readonly residency: EngineResidency;
  readonly history: OwnHistory;
  /** Returns the number of batch places available to requests. */
  readonly places: () => number;
}

/** Assigns an engine's batch places to requests by least slack. */
export class RequestDispatcher {
  readonly #parts: RequestDispatcherParts;

  /** @param parts The dependencies of the dispatcher. */
  constructor(parts: RequestDispatcherParts) {
    this.#parts = parts;
  }

  /**
   * Dispatches ready requests while there are free places or running requests
   * that can be preempted.
   * @param now The present time.
   * @param decisions The list to which decisions are added.
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
