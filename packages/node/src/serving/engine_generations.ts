import {
  type AdapterKey,
  attemptNumber,
  type Duration,
  elapsed,
  type EngineDecision,
  type Failure,
  type Instant,
  type RequestId,
} from "@foxtailwind/core";
import type { GenerationEnd, GenerationHandle } from "@foxtailwind/edges";
import { err, type Result } from "neverthrow";
import { generationSuspects } from "../crashes/mod.ts";
import type { EngineGenerationsParts } from "./engine_generations_parts.ts";
import { EngineLivenessCheck } from "./engine_liveness_check.ts";
import { isRefusal } from "./engine_poller.ts";
import { toQueuedRequest } from "./generation_estimates.ts";
import {
  callerLeftFailure,
  isAdapterMissing,
  mayStillRun,
  supersededFailure,
  targetMissedFailure,
} from "./generation_outcomes.ts";
import {
  DispatchedSink,
  type PendingGeneration,
  pendingGeneration,
  PendingGenerations,
  type RequestWithSink,
} from "./pending_generations.ts";

const MAXIMUM_ADAPTER_MISSES = 3;

/** The requests at one engine, from their queueing to their end. */
export class EngineGenerations {
  readonly #parts: EngineGenerationsParts;
  readonly #generations = new PendingGenerations();
  readonly #livenessCheck: EngineLivenessCheck;

  /** @param parts The dependencies. */
  constructor(parts: EngineGenerationsParts) {
    this.#parts = parts;
    this.#livenessCheck = new EngineLivenessCheck(parts);
  }

  /** The requests that are not dispatched. */
  get undispatched(): readonly PendingGeneration[] {
    return this.#generations.undispatched;
  }

  /**
   * Checks whether a request waits or runs at this engine.
   * @param request The request's id.
   * @returns Whether it does.
   */
  has(request: RequestId): boolean {
    return this.#generations.find(request) !== undefined;
  }

  /**
   * Lists the requests that wait for an adapter.
   * @param key The adapter.
   * @returns Their ids.
   */
  waitingFor(key: AdapterKey): readonly RequestId[] {
    return this.#generations.waitingFor(key);
  }

  /**
   * Resumes a request that is already queued here or known to the engine.
   * @param resumed The request, and what receives its answer.
   * @returns The handle of the generation, or undefined for a new request.
   */
  resume(resumed: RequestWithSink): GenerationHandle | undefined {
    const { generation, sink } = resumed;
    const earlier = this.#generations.find(generation.request);
    if (earlier !== undefined) return this.#supersede(earlier, resumed);
    if (!this.#parts.stateTracker.removeOrphan(generation.request)) {
      return undefined;
    }
    return this.#resumeOrphan(pendingGeneration(generation, sink));
  }

  /**
   * Adds a request to the engine's queue, for the first time or again.
   * @param pending The request.
   * @returns The handle of the generation.
   */
  queue(pending: PendingGeneration): GenerationHandle {
    const { generation } = pending;
    const now = this.#now();
    const controller = this.#parts.controller();
    this.#generations.add(pending);
    this.#parts.observer.record(now, {
      kind: "queued",
      request: generation.request,
      engine: this.#parts.engine,
      ahead: controller.waiting,
      class: generation.class,
      tenant: generation.tenant,
    });
    controller.submit(now, toQueuedRequest(now, generation));
    return this.#handleOf(pending);
  }

  /**
   * Removes the waiting requests, to be sent to another controller.
   * @returns The requests.
   */
  withdrawWaiting(): readonly RequestWithSink[] {
    const waiting = this.#generations.undispatched;
    for (const { generation } of waiting) {
      this.#parts.controller().withdraw(generation.request);
      this.#generations.remove(generation.request);
    }
    return waiting;
  }

  /**
   * Refuses a request that cannot be answered within its target.
   * @param request The request.
   * @param retryAfter When the caller may retry.
   */
  refuse(request: RequestId, retryAfter: Duration): void {
    this.#end(
      request,
      err(targetMissedFailure(this.#parts.engine, retryAfter)),
    );
  }

  /**
   * Starts a request on the engine.
   * @param decision The controller's decision.
   */
  dispatch(
    decision: Extract<EngineDecision, { readonly kind: "dispatch" }>,
  ): void {
    const { request, queueWait, loadStall, priority } = decision;
    const pending = this.#generations.find(request);
    if (pending === undefined) return;
    // The request was preempted before, and the engine still has it.
    if (pending.handle !== undefined) return;
    const { engine, observer } = this.#parts;
    observer.record(this.#now(), {
      kind: "dispatched",
      request,
      engine,
      queueWait,
      loadStall,
    });
    this.#generations.stopWaiting(pending);
    pending.priority = priority;
    this.#generate(pending);
  }

  #generate(pending: PendingGeneration): void {
    const { generation, priority, sink } = pending;
    const { request } = generation;
    const controller = this.#parts.controller();
    let firstTokenAt: Instant | undefined;
    const listener = new DispatchedSink(sink, {
      firstToken: () => {
        firstTokenAt = this.#now();
        controller.firstToken(firstTokenAt, request);
      },
      ended: (result, generatedTokens) => {
        if (this.#generations.find(request) !== pending) return;
        if (mayStillRun(result)) {
          this.#parts.stateTracker.addOrphan(request);
          const now = this.#now();
          const ranFor = firstTokenAt && elapsed(firstTokenAt, now);
          this.#parts.suspects.recordBrokenStream(
            now,
            generationSuspects(generation),
            ranFor,
          );
        } else controller.requestEnded(this.#now(), request, generatedTokens);
        this.#handleEnd(pending, result);
      },
    });
    pending.handle = this.#parts.client.generate({
      request,
      attempt: generation.attempt ?? attemptNumber(1),
      model: generation.model,
      adapter: generation.adapter,
      messages: generation.messages,
      maximumTokens: generation.maximumTokens,
      priority,
      fromSequence: generation.fromSequence ?? 0,
    }, listener);
    if (pending.paused) pending.handle.pause();
  }

  /**
   * Replaces an earlier attempt whose path is broken by a later one, which
   * takes over its batch place, pinned adapter and stream. Thus the request
   * still runs only once.
   */
  #supersede(
    earlier: PendingGeneration,
    { generation, sink }: RequestWithSink,
  ): GenerationHandle {
    const pending: PendingGeneration = { ...earlier, generation, sink };
    this.#generations.add(pending);
    if (earlier.handle !== undefined) {
      this.#generations.stopWaiting(pending);
      this.#generate(pending);
    }
    earlier.sink.onEnd(err(supersededFailure(this.#parts.engine)));
    return this.#handleOf(pending);
  }

  /**
   * Resumes a request whose stream broke. It still has its batch place, and its
   * adapter is still pinned.
   */
  #resumeOrphan(pending: PendingGeneration): GenerationHandle {
    this.#generations.add(pending);
    this.#generations.stopWaiting(pending);
    this.#generate(pending);
    return this.#handleOf(pending);
  }

  #handleEnd(
    pending: PendingGeneration,
    result: Result<GenerationEnd, Failure>,
  ): void {
    if (
      isAdapterMissing(result) && pending.adapterMisses < MAXIMUM_ADAPTER_MISSES
    ) {
      void this.#refreshStateAndRetry(pending);
      return;
    }
    // Precedes the end, so that the next attempt is sent to another engine.
    if (result.isErr() && isRefusal(result.error)) {
      this.#parts.stateTracker.onRefused();
    }
    this.#end(pending.generation.request, result);
    if (result.isErr()) void this.#livenessCheck.run();
    this.#parts.onChange();
  }

  /**
   * Queues a request again whose adapter the engine did not have. The engine
   * refused to run it, so it may be dispatched again.
   */
  async #refreshStateAndRetry(refused: PendingGeneration): Promise<void> {
    const { request, adapter } = refused.generation;
    const controller = this.#parts.controller();
    refused.handle = undefined;
    refused.adapterMisses += 1;
    await this.#parts.poller.readState();
    const pending = this.#generations.find(request);
    if (pending === undefined) return;
    const wasRestarted = this.#parts.controller() !== controller;
    if (!wasRestarted) controller.adapterMissing(this.#now(), adapter);
    if (pending.isCancelled) {
      controller.withdraw(request);
      this.#end(request, err(callerLeftFailure(this.#parts.engine)));
    } else if (!wasRestarted) this.queue(pending);
    this.#parts.onChange();
  }

  #handleOf(pending: PendingGeneration): GenerationHandle {
    return {
      pause() {
        pending.paused = true;
        pending.handle?.pause();
      },
      unpause() {
        pending.paused = false;
        pending.handle?.unpause();
      },
      cancel: () => {
        this.#cancel(pending.generation.request);
      },
    };
  }

  #cancel(request: RequestId): void {
    const pending = this.#generations.find(request);
    if (pending === undefined) return;
    if (pending.handle !== undefined) {
      pending.handle.cancel();
      return;
    }
    pending.isCancelled = true;
    if (this.#parts.controller().withdraw(request)) {
      this.#end(request, err(callerLeftFailure(this.#parts.engine)));
    }
  }

  #end(request: RequestId, result: Result<GenerationEnd, Failure>): void {
    this.#generations.remove(request)?.sink.onEnd(result);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
