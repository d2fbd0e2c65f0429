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
import { contentOf } from "../crashes/mod.ts";
import type { EngineGenerationsParts } from "./engine_generations_parts.ts";
import { EngineLook } from "./engine_look.ts";
import { isRefusal } from "./engine_watch.ts";
import { describeGeneration } from "./generation_estimates.ts";
import {
  callerLeft,
  isAdapterMissing,
  mayStillRun,
  superseded,
  targetMissed,
} from "./generation_outcomes.ts";
import {
  DispatchedSink,
  type HeldRequest,
  heldRequest,
  HeldRequests,
  type ReturnedRequest,
} from "./held_requests.ts";

const MOST_RESYNCS = 3;

/** The requests at one engine, from their queueing to their end. */
export class EngineGenerations {
  readonly #parts: EngineGenerationsParts;
  readonly #held = new HeldRequests();
  readonly #look: EngineLook;

  /** @param parts What the generations work with. */
  constructor(parts: EngineGenerationsParts) {
    this.#parts = parts;
    this.#look = new EngineLook(parts);
  }

  /** The requests that were not dispatched. */
  get undispatched(): readonly HeldRequest[] {
    return this.#held.undispatched;
  }

  /**
   * Tells whether a request is here.
   * @param request The request's id.
   * @returns Whether it waits or runs.
   */
  holds(request: RequestId): boolean {
    return this.#held.find(request) !== undefined;
  }

  /**
   * Lists the requests that wait for an adapter.
   * @param key The adapter.
   * @returns Their ids.
   */
  waitingFor(key: AdapterKey): readonly RequestId[] {
    return this.#held.waitingFor(key);
  }

  /**
   * Lets a request go on that the engine or this queue has already.
   * @param returned The request, and what receives its answer.
   * @returns The handle of the generation, or nothing where it is new.
   */
  takeOver(returned: ReturnedRequest): GenerationHandle | undefined {
    const { generation, sink } = returned;
    const earlier = this.#held.find(generation.request);
    if (earlier !== undefined) return this.#supersede(earlier, returned);
    if (!this.#parts.follower.adopt(generation.request)) return undefined;
    return this.#adopt(heldRequest(generation, sink));
  }

  /**
   * Puts a request into the engine's queue, also one that was there before.
   * @param held The request.
   * @returns The handle of the generation.
   */
  queue(held: HeldRequest): GenerationHandle {
    const { generation } = held;
    const now = this.#now();
    const controller = this.#parts.controller();
    this.#held.add(held);
    this.#parts.observer.record(now, {
      kind: "queued",
      request: generation.request,
      engine: this.#parts.engine,
      ahead: controller.waiting,
      class: generation.class,
      tenant: generation.tenant,
    });
    controller.submit(now, describeGeneration(now, generation));
    return this.#handleOf(held);
  }

  /**
   * Takes out the requests that wait, to be brought to another controller.
   * @returns The requests.
   */
  handBack(): readonly ReturnedRequest[] {
    const waiting = this.#held.undispatched;
    for (const { generation } of waiting) {
      this.#parts.controller().withdraw(generation.request);
      this.#held.remove(generation.request);
    }
    return waiting;
  }

  /**
   * Ends a request that cannot be answered within its target.
   * @param request The request.
   * @param retryAfter When its caller may come back.
   */
  refuse(request: RequestId, retryAfter: Duration): void {
    this.#end(
      request,
      err(targetMissed(this.#parts.engine, retryAfter)),
    );
  }

  /**
   * Starts a request on the engine.
   * @param decision What the controller decided on it.
   */
  dispatch(
    decision: Extract<EngineDecision, { readonly kind: "dispatch" }>,
  ): void {
    const { request, queueWait, loadStall, priority } = decision;
    const held = this.#held.find(request);
    if (held === undefined) return;
    // It gave way before, and the engine still has it.
    if (held.handle !== undefined) return;
    const { engine, observer } = this.#parts;
    observer.record(this.#now(), {
      kind: "dispatched",
      request,
      engine,
      queueWait,
      loadStall,
    });
    this.#held.leaveLine(held);
    held.priority = priority;
    this.#generate(held);
  }

  #generate(held: HeldRequest): void {
    const { generation, priority, sink } = held;
    const { request } = generation;
    const controller = this.#parts.controller();
    let firstAt: Instant | undefined;
    const listener = new DispatchedSink(sink, {
      firstToken: () => {
        firstAt = this.#now();
        controller.firstToken(firstAt, request);
      },
      ended: (result, generatedTokens) => {
        if (this.#held.find(request) !== held) return;
        if (mayStillRun(result)) {
          this.#parts.follower.orphan(request);
          const now = this.#now();
          const ranFor = firstAt && elapsed(firstAt, now);
          this.#parts.suspects.broke(now, contentOf(generation), ranFor);
        } else controller.requestEnded(this.#now(), request, generatedTokens);
        this.#generated(held, result);
      },
    });
    held.handle = this.#parts.client.generate({
      request,
      attempt: generation.attempt ?? attemptNumber(1),
      model: generation.model,
      adapter: generation.adapter,
      messages: generation.messages,
      maximumTokens: generation.maximumTokens,
      priority,
      fromSequence: generation.fromSequence ?? 0,
    }, listener);
    if (held.paused) held.handle.pause();
  }

  /**
   * A later attempt takes the place, the pin and the stream of an earlier one
   * whose path has broken, so that the request runs once all the same.
   */
  #supersede(
    earlier: HeldRequest,
    { generation, sink }: ReturnedRequest,
  ): GenerationHandle {
    const held: HeldRequest = { ...earlier, generation, sink };
    this.#held.add(held);
    if (earlier.handle !== undefined) {
      this.#held.leaveLine(held);
      this.#generate(held);
    }
    earlier.sink.onEnd(err(superseded(this.#parts.engine)));
    return this.#handleOf(held);
  }

  /** A request whose stream broke still has its place and its pin. */
  #adopt(held: HeldRequest): GenerationHandle {
    this.#held.add(held);
    this.#held.leaveLine(held);
    this.#generate(held);
    return this.#handleOf(held);
  }

  #generated(held: HeldRequest, result: Result<GenerationEnd, Failure>): void {
    if (isAdapterMissing(result) && held.resyncs < MOST_RESYNCS) {
      void this.#resyncAndRetry(held);
      return;
    }
    // Before the end, so that another attempt finds another engine.
    if (result.isErr() && isRefusal(result.error)) {
      this.#parts.follower.onRefused();
    }
    this.#end(held.generation.request, result);
    if (result.isErr()) void this.#look.look();
    this.#parts.changed();
  }

  /** The engine refused to run it, so that it may be dispatched again. */
  async #resyncAndRetry(refused: HeldRequest): Promise<void> {
    const { request, adapter } = refused.generation;
    const controller = this.#parts.controller();
    refused.handle = undefined;
    refused.resyncs += 1;
    await this.#parts.watch.readState();
    const held = this.#held.find(request);
    if (held === undefined) return;
    const wasRestarted = this.#parts.controller() !== controller;
    if (!wasRestarted) controller.adapterMissing(this.#now(), adapter);
    if (held.isCancelled) {
      controller.withdraw(request);
      this.#end(request, err(callerLeft(this.#parts.engine)));
    } else if (!wasRestarted) this.queue(held);
    this.#parts.changed();
  }

  #handleOf(held: HeldRequest): GenerationHandle {
    return {
      pause() {
        held.paused = true;
        held.handle?.pause();
      },
      unpause() {
        held.paused = false;
        held.handle?.unpause();
      },
      cancel: () => {
        this.#cancel(held.generation.request);
      },
    };
  }

  #cancel(request: RequestId): void {
    const held = this.#held.find(request);
    if (held === undefined) return;
    if (held.handle !== undefined) {
      held.handle.cancel();
      return;
    }
    held.isCancelled = true;
    if (this.#parts.controller().withdraw(request)) {
      this.#end(request, err(callerLeft(this.#parts.engine)));
    }
  }

  #end(request: RequestId, result: Result<GenerationEnd, Failure>): void {
    this.#held.remove(request)?.sink.onEnd(result);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
