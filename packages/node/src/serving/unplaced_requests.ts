import type { Instant } from "@foxtailwind/core";
import type { GenerationHandle, GenerationSink } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { GenerationRequest } from "./generation_request.ts";

const RETRY_INTERVAL_MILLISECONDS = 50;

/** A request that no engine can accept yet, as while a controller changes. */
interface UnplacedRequest {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
  readonly deadline: Instant;
  handle: GenerationHandle | undefined;
  isCancelled: boolean;
}

/** Tries to send a request to an engine; undefined if none is available. */
export type PlaceRequest = (
  generation: GenerationRequest,
  sink: GenerationSink,
) => GenerationHandle | undefined;

/** Places waiting requests, and ends those that cannot be placed. */
export interface UnplacedRequestCallbacks {
  readonly place: PlaceRequest;
  readonly onExpired: (
    generation: GenerationRequest,
    sink: GenerationSink,
  ) => void;
  readonly onCancelled: (sink: GenerationSink) => void;
}

/** Holds requests for a short time until an engine can accept them. */
export class UnplacedRequests {
  readonly #clock: SteadyClock;
  readonly #callbacks: UnplacedRequestCallbacks;
  #waiting: UnplacedRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clock This VM's clock.
   * @param callbacks Place and end requests.
   */
  constructor(clock: SteadyClock, callbacks: UnplacedRequestCallbacks) {
    this.#clock = clock;
    this.#callbacks = callbacks;
  }

  /**
   * Adds a request.
   * @param generation The request.
   * @param sink Receives the answer.
   * @param deadline When the request expires.
   * @returns The handle of the generation.
   */
  add(
    generation: GenerationRequest,
    sink: GenerationSink,
    deadline: Instant,
  ): GenerationHandle {
    const request: UnplacedRequest = {
      generation,
      sink,
      deadline,
      handle: undefined,
      isCancelled: false,
    };
    this.#waiting.push(request);
    this.#timer ??= setInterval(() => {
      this.#retry();
    }, RETRY_INTERVAL_MILLISECONDS);
    return this.#handleOf(request);
  }

  /** Ends all waiting requests as expired. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const { generation, sink } of waiting) {
      this.#callbacks.onExpired(generation, sink);
    }
  }

  #retry(): void {
    const now = this.#clock.now();
    const waiting = this.#waiting;
    this.#waiting = waiting.filter((request) =>
      !this.#tryToFinish(now, request)
    );
    if (this.#waiting.length > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tryToFinish(now: Instant, request: UnplacedRequest): boolean {
    const { generation, sink, deadline, isCancelled } = request;
    if (isCancelled) return true;
    request.handle = this.#callbacks.place(generation, sink);
    if (request.handle !== undefined) return true;
    if (now < deadline) return false;
    this.#callbacks.onExpired(generation, sink);
    return true;
  }

  #handleOf(request: UnplacedRequest): GenerationHandle {
    return {
      pause: () => request.handle?.pause(),
      unpause: () => request.handle?.unpause(),
      cancel: () => {
        if (request.handle !== undefined) {
          request.handle.cancel();
        } else if (!request.isCancelled) {
          request.isCancelled = true;
          this.#callbacks.onCancelled(request.sink);
        }
      },
    };
  }
}
