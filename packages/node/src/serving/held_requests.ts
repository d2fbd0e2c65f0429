import {
  type AdapterKey,
  adapterKey,
  type Failure,
  type RequestId,
} from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  type GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import type { Result } from "neverthrow";
import type { GenerationRequest } from "./generation_request.ts";

/** A request that a runner gives back, to be brought elsewhere. */
export interface ReturnedRequest {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
}

/** A request at an engine's runner. */
export interface HeldRequest {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
  handle: GenerationHandle | undefined;
  /** The caller has stopped reading. */
  paused: boolean;
  /** The caller has left. */
  isCancelled: boolean;
  /** How often the engine did not have its adapter. */
  resyncs: number;
  /** How it stands in the engine's batch; higher goes first. */
  priority: number;
}

/**
 * Describes a request that has just come.
 * @param generation The request.
 * @param sink Receives the answer.
 * @returns The request, not dispatched.
 */
export function heldRequest(
  generation: GenerationRequest,
  sink: GenerationSink,
): HeldRequest {
  return {
    generation,
    sink,
    handle: undefined,
    paused: false,
    isCancelled: false,
    resyncs: 0,
    priority: 0,
  };
}

/** What a runner learns of a dispatched request. */
export interface DispatchListener {
  readonly firstToken: () => void;
  readonly ended: (
    result: Result<GenerationEnd, Failure>,
    generatedTokens: number,
  ) => void;
}

/** Passes an answer on, and tells the runner of its beginning and end. */
export class DispatchedSink extends GenerationSink {
  readonly #sink: GenerationSink;
  readonly #listener: DispatchListener;
  #tokens = 0;

  /**
   * @param sink Receives the frames.
   * @param listener Learns of the first token and of the end.
   */
  constructor(sink: GenerationSink, listener: DispatchListener) {
    super();
    this.#sink = sink;
    this.#listener = listener;
  }

  override onFrame(frame: GenerationFrame): void {
    if (this.#tokens === 0) this.#listener.firstToken();
    this.#tokens += frame.tokens.length;
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#listener.ended(result, this.#tokens);
  }
}

/** The requests of one runner, also by adapter while they wait. */
export class HeldRequests {
  readonly #held = new Map<RequestId, HeldRequest>();
  readonly #waiting = new Map<AdapterKey, Set<RequestId>>();

  /** The requests that were not dispatched. */
  get undispatched(): readonly HeldRequest[] {
    return [...this.#held.values()]
      .filter((held) => held.handle === undefined);
  }

  /**
   * Finds a request.
   * @param request The request's id.
   * @returns The request, or nothing.
   */
  find(request: RequestId): HeldRequest | undefined {
    return this.#held.get(request);
  }

  /**
   * Adds a request.
   * @param held The request.
   */
  add(held: HeldRequest): void {
    const { request, adapter } = held.generation;
    this.#held.set(request, held);
    const key = adapterKey(adapter);
    const line = this.#waiting.get(key) ?? new Set();
    line.add(request);
    this.#waiting.set(key, line);
  }

  /**
   * Takes note that a request waits no longer.
   * @param held The request.
   */
  leaveLine(held: HeldRequest): void {
    const { request, adapter } = held.generation;
    const key = adapterKey(adapter);
    const line = this.#waiting.get(key);
    line?.delete(request);
    if (line?.size === 0) this.#waiting.delete(key);
  }

  /**
   * Takes a request out.
   * @param request The request's id.
   * @returns The request, or nothing.
   */
  remove(request: RequestId): HeldRequest | undefined {
    const held = this.#held.get(request);
    if (held === undefined) return undefined;
    this.leaveLine(held);
    this.#held.delete(request);
    return held;
  }

  /**
   * Lists the requests that wait for an adapter.
   * @param key The adapter.
   * @returns Their ids.
   */
  waitingFor(key: AdapterKey): readonly RequestId[] {
    return [...this.#waiting.get(key) ?? []];
  }
}
