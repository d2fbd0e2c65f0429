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

/** A request and the receiver of its answer. */
export interface RequestWithSink {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
}

/** A request that waits or runs at an engine. */
export interface PendingGeneration {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
  handle: GenerationHandle | undefined;
  /** Whether the caller has paused reading. */
  paused: boolean;
  /** Whether the caller has disconnected. */
  isCancelled: boolean;
  /** Number of times that the engine did not have its adapter. */
  adapterMisses: number;
  /** Its priority in the engine's batch; higher goes first. */
  priority: number;
}

/**
 * Creates the entry of a new request.
 * @param generation The request.
 * @param sink Receives the answer.
 * @returns The entry, not yet dispatched.
 */
export function pendingGeneration(
  generation: GenerationRequest,
  sink: GenerationSink,
): PendingGeneration {
  return {
    generation,
    sink,
    handle: undefined,
    paused: false,
    isCancelled: false,
    adapterMisses: 0,
    priority: 0,
  };
}

/** Receives the events of a dispatched request. */
export interface DispatchListener {
  readonly firstToken: () => void;
  readonly ended: (
    result: Result<GenerationEnd, Failure>,
    generatedTokens: number,
  ) => void;
}

/** Forwards an answer, and reports its first token and its end. */
export class DispatchedSink extends GenerationSink {
  readonly #sink: GenerationSink;
  readonly #listener: DispatchListener;
  #generatedTokens = 0;

  /**
   * @param sink Receives the frames.
   * @param listener Called at the first token and at the end.
   */
  constructor(sink: GenerationSink, listener: DispatchListener) {
    super();
    this.#sink = sink;
    this.#listener = listener;
  }

  override onFrame(frame: GenerationFrame): void {
    if (this.#generatedTokens === 0) this.#listener.firstToken();
    this.#generatedTokens += frame.tokens.length;
    this.#sink.onFrame(frame);
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    this.#listener.ended(result, this.#generatedTokens);
  }
}

/** The requests at one engine; waiting ones are also indexed by adapter. */
export class PendingGenerations {
  readonly #generations = new Map<RequestId, PendingGeneration>();
  readonly #waitingByAdapter = new Map<AdapterKey, Set<RequestId>>();

  /** The requests that are not dispatched. */
  get undispatched(): readonly PendingGeneration[] {
    return [...this.#generations.values()]
      .filter((pending) => pending.handle === undefined);
  }

  /**
   * Finds a request.
   * @param request The request's id.
   * @returns The request, or undefined.
   */
  find(request: RequestId): PendingGeneration | undefined {
    return this.#generations.get(request);
  }

  /**
   * Adds a request.
   * @param pending The request.
   */
  add(pending: PendingGeneration): void {
    const { request, adapter } = pending.generation;
    this.#generations.set(request, pending);
    const key = adapterKey(adapter);
    const waiting = this.#waitingByAdapter.get(key) ?? new Set();
    waiting.add(request);
    this.#waitingByAdapter.set(key, waiting);
  }

  /**
   * Removes a request from those waiting for its adapter.
   * @param pending The request.
   */
  stopWaiting(pending: PendingGeneration): void {
    const { request, adapter } = pending.generation;
    const key = adapterKey(adapter);
    const waiting = this.#waitingByAdapter.get(key);
    waiting?.delete(request);
    if (waiting?.size === 0) this.#waitingByAdapter.delete(key);
  }

  /**
   * Removes a request.
   * @param request The request's id.
   * @returns The request, or undefined.
   */
  remove(request: RequestId): PendingGeneration | undefined {
    const pending = this.#generations.get(request);
    if (pending === undefined) return undefined;
    this.stopWaiting(pending);
    this.#generations.delete(request);
    return pending;
  }

  /**
   * Lists the requests that wait for an adapter.
   * @param key The adapter.
   * @returns Their ids.
   */
  waitingFor(key: AdapterKey): readonly RequestId[] {
    return [...this.#waitingByAdapter.get(key) ?? []];
  }
}
