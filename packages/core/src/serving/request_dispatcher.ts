import {
  choosePreempted,
  type DispatchHistory,
  type EngineRequest,
  type EngineRequests,
  PREEMPTION_TARGET_RATIO,
} from "../dispatch/mod.ts";
import type { EngineResidency } from "../residency/mod.ts";
import { elapsed, type Instant, milliseconds } from "../shared/mod.ts";
import type { EngineDecision } from "./engine_event.ts";

/** The dependencies of a request dispatcher. */
export interface RequestDispatcherParts {
  readonly engineRequests: EngineRequests;
  readonly residency: EngineResidency;
  readonly dispatchHistory: DispatchHistory;
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
      const request = this.#parts.engineRequests.ready.peek(now);
      if (request === undefined) return;
      if (this.#parts.engineRequests.running.size >= this.#parts.places()) {
        const preempted = this.#choosePreempted(now, request);
        if (preempted === undefined) return;
        this.#parts.engineRequests.preempt(preempted);
        const id = preempted.queued.request;
        decisions.push({ kind: "preempt", request: id });
      }
      decisions.push(this.#start(now, request));
    }
  }

  #start(now: Instant, request: EngineRequest): EngineDecision {
    const queueWait = elapsed(request.submittedAt, now) - request.loadStall;
    if (!request.isPreempted) this.#parts.residency.pin(now, request.key);
    this.#parts.engineRequests.start(now, request);
    this.#parts.dispatchHistory.record(
      now,
      this.#parts.engineRequests.heldByEngine,
    );
    return {
      kind: "dispatch",
      request: request.queued.request,
      priority: -Math.round(request.deadline),
      queueWait: milliseconds(queueWait),
      loadStall: request.loadStall,
    };
  }

  #choosePreempted(
    now: Instant,
    urgent: EngineRequest,
  ): EngineRequest | undefined {
    const minimumTarget = PREEMPTION_TARGET_RATIO * urgent.target;
    if (this.#parts.engineRequests.countRunningAtLeast(minimumTarget) === 0) {
      return undefined;
    }
    return choosePreempted(now, this.#parts.engineRequests.running, urgent);
  }
}
