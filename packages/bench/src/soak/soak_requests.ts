import {
  type AdapterReference,
  assertInvariant,
  type EngineId,
  type Instant,
  type RequestId,
  requestId,
} from "@foxtailwind/core";

/** What a soak did. */
export interface SoakCounts {
  requests: number;
  answered: number;
  refused: number;
  cancelled: number;
  loads: number;
  failedLoads: number;
  evictions: number;
  preemptions: number;
  restarts: number;
}

type RequestState = "waiting" | "dispatched" | "cancelling";

/** A request that has not ended. */
export interface OpenRequest {
  readonly adapter: AdapterReference;
  readonly class: number;
  readonly arrivedAt: Instant;
  state: RequestState;
  engine: EngineId | undefined;
}

/**
 * The requests of a soak. Each ends once, at most one engine runs it, and none
 * runs after a refusal.
 */
export class SoakRequests {
  readonly counts: SoakCounts = {
    requests: 0,
    answered: 0,
    refused: 0,
    cancelled: 0,
    loads: 0,
    failedLoads: 0,
    evictions: 0,
    preemptions: 0,
    restarts: 0,
  };
  readonly #open = new Map<RequestId, OpenRequest>();

  /** How many have not ended. */
  get size(): number {
    return this.#open.size;
  }

  /** Those that have not ended. */
  get open(): readonly (readonly [RequestId, OpenRequest])[] {
    return [...this.#open];
  }

  /**
   * Adds a request that has come.
   * @param now The present time.
   * @param asked The adapter that it is for, and its class's place, from 0.
   * @returns Its id.
   */
  add(
    now: Instant,
    asked: Pick<OpenRequest, "adapter" | "class">,
  ): RequestId {
    this.counts.requests += 1;
    const request = requestId(`request-${this.counts.requests}`);
    this.#open.set(request, {
      ...asked,
      arrivedAt: now,
      state: "waiting",
      engine: undefined,
    });
    return request;
  }

  /**
   * Finds a request, which must not have ended.
   * @param request Its id.
   * @returns The request.
   */
  find(request: RequestId): OpenRequest {
    const open = this.#open.get(request);
    assertInvariant(
      open !== undefined,
      "request_ends_once",
      () => `${request} has ended.`,
    );
    return open;
  }

  /**
   * Takes note that a request goes to an engine.
   * @param request Its id.
   * @param engine The engine.
   * @returns The adapter that it is for.
   */
  dispatch(request: RequestId, engine: EngineId): AdapterReference {
    const open = this.find(request);
    assertInvariant(
      open.engine === undefined || open.engine === engine,
      "runs_at_one_engine",
      () => `${request} runs at ${open.engine ?? ""} already.`,
    );
    open.engine = engine;
    if (open.state === "waiting") open.state = "dispatched";
    return open.adapter;
  }

  /**
   * Ends a request that is refused.
   * @param request Its id.
   */
  refuse(request: RequestId): void {
    const open = this.find(request);
    assertInvariant(
      open.engine === undefined,
      "refused_was_not_run",
      () => `${request} runs at ${open.engine ?? ""}.`,
    );
    this.counts.refused += 1;
    this.#open.delete(request);
  }

  /**
   * Ends a request whose caller left before it ran.
   * @param request Its id.
   */
  cancelled(request: RequestId): void {
    this.counts.cancelled += 1;
    this.#open.delete(request);
  }

  /**
   * Ends a request whose run is over.
   * @param request Its id.
   */
  close(request: RequestId): void {
    const open = this.find(request);
    if (open.state === "cancelling") this.counts.cancelled += 1;
    else this.counts.answered += 1;
    this.#open.delete(request);
  }
}
