import type { Instant } from "@foxtailwind/core";
import type { GenerationHandle, GenerationSink } from "@foxtailwind/edges";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { GenerationRequest } from "./generation_request.ts";

const TRY_MILLISECONDS = 50;

/** A request that no engine can take yet, as while a controller changes. */
interface UnplacedRequest {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
  readonly until: Instant;
  handle: GenerationHandle | undefined;
  isCancelled: boolean;
}

/** Tries to bring a request to an engine; nothing where there is none. */
export type PlaceRequest = (
  generation: GenerationRequest,
  sink: GenerationSink,
) => GenerationHandle | undefined;

/** What becomes of requests that cannot be placed. */
export interface UnplacedListener {
  readonly place: PlaceRequest;
  readonly expired: (
    generation: GenerationRequest,
    sink: GenerationSink,
  ) => void;
  readonly cancelled: (sink: GenerationSink) => void;
}

/** Keeps requests for a short time until an engine can take them. */
export class UnplacedRequests {
  readonly #clock: SteadyClock;
  readonly #listener: UnplacedListener;
  #waiting: UnplacedRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clock This VM's clock.
   * @param listener Places requests, and ends those that it cannot place.
   */
  constructor(clock: SteadyClock, listener: UnplacedListener) {
    this.#clock = clock;
    this.#listener = listener;
  }

  /**
   * Keeps a request.
   * @param generation The request.
   * @param sink Receives the answer.
   * @param until When it is given up.
   * @returns The handle of the generation.
   */
  add(
    generation: GenerationRequest,
    sink: GenerationSink,
    until: Instant,
  ): GenerationHandle {
    const request: UnplacedRequest = {
      generation,
      sink,
      until,
      handle: undefined,
      isCancelled: false,
    };
    this.#waiting.push(request);
    this.#timer ??= setInterval(() => {
      this.#retry();
    }, TRY_MILLISECONDS);
    return this.#handleOf(request);
  }

  /** Ends the requests that wait. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const { generation, sink } of waiting) {
      this.#listener.expired(generation, sink);
    }
  }

  #retry(): void {
    const now = this.#clock.now();
    const waiting = this.#waiting;
    this.#waiting = waiting.filter((request) => !this.#settle(now, request));
    if (this.#waiting.length > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #settle(now: Instant, request: UnplacedRequest): boolean {
    const { generation, sink, until, isCancelled } = request;
    if (isCancelled) return true;
    request.handle = this.#listener.place(generation, sink);
    if (request.handle !== undefined) return true;
    if (now < until) return false;
    this.#listener.expired(generation, sink);
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
          this.#listener.cancelled(request.sink);
        }
      },
    };
  }
}
