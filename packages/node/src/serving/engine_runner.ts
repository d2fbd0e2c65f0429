import {
  adapterKey,
  type AdapterReference,
  attemptNumber,
  CLOCK_START,
  EngineController,
  type EngineDecision,
  type EngineId,
  type Failure,
  type Instant,
  milliseconds,
  type ModelId,
  type RequestId,
  type RequestObserver,
} from "@foxtailwind/core";
import type {
  CacheEvent,
  EngineClient,
  EngineLoadReport,
  EngineState,
  GenerationEnd,
  GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import { err, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { PartLogger } from "../logging/part_logger.ts";
import type { AdapterAggregates } from "./adapter_aggregates.ts";
import { EngineLoads } from "./engine_loads.ts";
import { EngineWatch, EngineWatcher } from "./engine_watch.ts";
import type { EngineViews } from "./engine_views.ts";
import { describeGeneration } from "./generation_estimates.ts";
import type { GenerationRequest } from "./generation_request.ts";
import {
  DispatchedSink,
  type HeldRequest,
  HeldRequests,
} from "./held_requests.ts";
import type { OrderRight } from "./order_right.ts";
import type { LoadPermits } from "./permits/load_permits.ts";
import { WishOffer } from "./permits/wish_offer.ts";

const TICK_MILLISECONDS = 50;
const MOST_RESYNCS = 3;
/** A request that the controller before sent may be so long on its way. */
const LONGEST_FLIGHT_MILLISECONDS = 1_000;

/** What a runner works with. */
export interface EngineRunnerParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
  readonly observer: RequestObserver;
  readonly right: OrderRight;
  readonly permits: LoadPermits;
  readonly aggregates: AdapterAggregates;
  readonly views: EngineViews;
}

/** A request that a runner gives back, to be brought elsewhere. */
export interface ReturnedRequest {
  readonly generation: GenerationRequest;
  readonly sink: GenerationSink;
}

/** Carries out an engine controller's decisions on the engine. */
export class EngineRunner extends EngineWatcher {
  readonly #parts: EngineRunnerParts;
  readonly #held = new HeldRequests();
  readonly #loads: EngineLoads;
  readonly #model: ModelId;
  readonly #watch: EngineWatch;
  readonly #timer: NodeJS.Timeout;
  readonly #wishes: WishOffer;
  #controller: EngineController;
  #controlledSince: Instant = CLOCK_START;

  private constructor(parts: EngineRunnerParts, found: EngineState) {
    super();
    this.#parts = parts;
    this.#loads = new EngineLoads(parts);
    this.#model = found.model;
    this.#wishes = new WishOffer(parts);
    this.#controller = this.#control(found);
    this.#watch = new EngineWatch({
      engine: parts.engine,
      client: parts.client,
      watcher: this,
      bootId: found.bootId,
    });
    parts.permits.register(parts.engine, (adapter) => {
      this.#usePermit(adapter);
    });
    this.#timer = setInterval(() => {
      this.#act();
    }, TICK_MILLISECONDS);
    void this.#watch.run();
  }

  /**
   * Reads the engine's state and starts to control it.
   * @param parts What the runner works with.
   * @returns The runner, or why the engine could not be read.
   */
  static async start(
    parts: EngineRunnerParts,
  ): Promise<Result<EngineRunner, Failure>> {
    const state = await parts.client.readState();
    return state.map((found) => new EngineRunner(parts, found));
  }

  /** The decisions' state. */
  get controller(): EngineController {
    return this.#controller;
  }

  /**
   * Queues a request; its answer goes to the sink.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  submit(
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const earlier = this.#held.find(generation.request);
    if (earlier !== undefined) {
      return this.#supersede(earlier, { generation, sink });
    }
    const held: HeldRequest = {
      generation,
      sink,
      handle: undefined,
      paused: false,
      isCancelled: false,
      resyncs: 0,
      priority: 0,
    };
    this.#queue(held);
    this.#act();
    return this.#handleOf(held);
  }

  /**
   * Stops controlling the engine; requests in progress go on.
   * @returns The requests that wait, to be brought to another controller.
   */
  stop(): readonly ReturnedRequest[] {
    clearInterval(this.#timer);
    this.#watch.stop();
    this.#loads.stop();
    this.#parts.permits.unregister(this.#parts.engine);
    this.#parts.views.drop(this.#controller);
    const waiting = this.#held.undispatched;
    for (const { generation } of waiting) {
      this.#controller.withdraw(generation.request);
      this.#held.remove(generation.request);
    }
    this.#controller.close();
    return waiting;
  }

  override onReport(report: EngineLoadReport): void {
    const { engine, observer } = this.#parts;
    observer.recordBatch(this.#now(), { engine, fill: report.batchFill });
    this.#controller.reported(this.#now(), {
      running: report.running,
      waiting: report.waiting,
      stepTime: milliseconds(report.stepMilliseconds),
      age: milliseconds(report.ageMilliseconds),
    });
  }

  override onCacheEvents(events: readonly CacheEvent[]): void {
    const { aggregates, engine } = this.#parts;
    for (const event of events) {
      const prefix = { key: adapterKey(event.adapter), hash: event.prefixHash };
      if (event.kind === "stored") aggregates.prefixes.stored(prefix, engine);
      else aggregates.prefixes.evicted(prefix, engine);
    }
  }

  override onState(state: EngineState): void {
    const since = this.#now() - this.#controlledSince;
    if (since < LONGEST_FLIGHT_MILLISECONDS) return;
    const others = state.running.filter((running) =>
      this.#held.find(running.request) === undefined
    );
    const inUse = others.map((running) => adapterKey(running.adapter));
    this.#controller.found(this.#now(), {
      resident: state.resident.map(adapterKey),
      loading: state.loading.map(adapterKey),
      inUse: new Set(inUse),
    });
  }

  override get needsState(): boolean {
    return this.#controller.hasUnproven;
  }

  override onRestart(state: EngineState): void {
    const { engine, logger, views } = this.#parts;
    logger.warn("An engine has restarted.", { engine });
    const waiting = this.#held.undispatched;
    views.drop(this.#controller);
    this.#controller.close();
    this.#controller = this.#control(state);
    for (const held of waiting) this.#queueAgain(held);
    this.#act();
  }

  #control(found: EngineState): EngineController {
    const { aggregates, engine, views } = this.#parts;
    const controller = new EngineController({
      engine,
      capacity: found,
      index: aggregates.index,
      demand: aggregates.demand,
      loads: aggregates.loads,
    });
    this.#controlledSince = this.#now();
    controller.takeIn(this.#controlledSince, found);
    views.put(controller);
    return controller;
  }

  #queue(held: HeldRequest): void {
    const { aggregates } = this.#parts;
    const { adapter, firstTokenTarget } = held.generation;
    const key = adapterKey(adapter);
    const arrival = { key, adapter, target: firstTokenTarget };
    aggregates.demand.arrived(this.#now(), arrival);
    this.#queueAgain(held);
  }

  #queueAgain(held: HeldRequest): void {
    const { generation } = held;
    const now = this.#now();
    this.#held.add(held);
    this.#parts.observer.record(now, {
      kind: "queued",
      request: generation.request,
      engine: this.#parts.engine,
      ahead: this.#controller.waiting,
      class: generation.class,
      tenant: generation.tenant,
    });
    this.#controller.submit(now, describeGeneration(now, generation));
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
    if (this.#controller.withdraw(request)) {
      this.#end(request, err(this.#failure("cancelled", "The caller left.")));
    }
  }

  #act(): void {
    const now = this.#now();
    for (const decision of this.#controller.decide(now)) {
      this.#carryOut(decision);
    }
    this.#offerWishes();
  }

  #offerWishes(): void {
    const { aggregates, engine, views } = this.#parts;
    const now = this.#now();
    aggregates.scout.look(now, views.running(this.#model));
    const prefetch = aggregates.scout.candidates(now, engine);
    this.#wishes.offer(now, this.#controller.wishes(now, prefetch));
  }

  #usePermit(adapter: AdapterReference): void {
    if (!this.#controller.usePermit(this.#now(), adapter)) {
      this.#permitEnded(adapter, false);
      return;
    }
    for (const decision of this.#controller.decide(this.#now())) {
      this.#carryOut(decision);
    }
  }

  #permitEnded(adapter: AdapterReference, loaded: boolean): void {
    const { engine, permits } = this.#parts;
    permits.ended({ engine, adapter, loaded });
  }

  #carryOut(decision: EngineDecision): void {
    switch (decision.kind) {
      case "dispatch":
        this.#dispatch(decision);
        break;
      case "preempt":
        // The engine puts work of lower priority aside by itself, and keeps
        // its state; a cancel would throw away what it has generated.
        this.#parts.observer.record(this.#now(), {
          kind: "preempted",
          request: decision.request,
        });
        break;
      case "load":
        this.#load(decision);
        break;
      case "evict":
        this.#evict(decision.adapter);
        break;
      case "return_permit":
        this.#permitEnded(decision.adapter, false);
        break;
      case "refuse":
        this.#end(
          decision.request,
          err({
            ...this.#failure("overloaded", "The target cannot be met."),
            retryAfterMilliseconds: decision.retryAfter,
          }),
        );
        break;
    }
  }

  #dispatch(
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
    const controller = this.#controller;
    const listener = new DispatchedSink(sink, {
      firstToken: () => {
        controller.firstToken(this.#now(), request);
      },
      ended: (result, generatedTokens) => {
        if (this.#held.find(request) !== held) return;
        controller.requestEnded(this.#now(), request, generatedTokens);
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

  #generated(held: HeldRequest, result: Result<GenerationEnd, Failure>): void {
    if (isAdapterMissing(result) && held.resyncs < MOST_RESYNCS) {
      void this.#resyncAndRetry(held);
      return;
    }
    this.#end(held.generation.request, result);
    if (result.isErr()) void this.#watch.readState();
    this.#act();
  }

  /** The engine refused to run it, so that it may be dispatched again. */
  async #resyncAndRetry(refused: HeldRequest): Promise<void> {
    const { request, adapter } = refused.generation;
    const controller = this.#controller;
    refused.handle = undefined;
    refused.resyncs += 1;
    await this.#watch.readState();
    const held = this.#held.find(request);
    if (held === undefined) return;
    const wasRestarted = this.#controller !== controller;
    if (!wasRestarted) controller.adapterMissing(this.#now(), adapter);
    if (held.isCancelled) {
      controller.withdraw(request);
      this.#end(request, err(this.#failure("cancelled", "The caller left.")));
    } else if (!wasRestarted) this.#queueAgain(held);
    this.#act();
  }

  #load(decision: Extract<EngineDecision, { readonly kind: "load" }>): void {
    const controller = this.#controller;
    const waiting = this.#held.waitingFor(adapterKey(decision.adapter));
    void this.#loads.load(decision, waiting).then((loaded) => {
      const { adapter } = decision;
      this.#permitEnded(adapter, loaded);
      controller.loadEnded(this.#now(), { adapter, loaded });
      this.#act();
    });
  }

  #evict(adapter: AdapterReference): void {
    const controller = this.#controller;
    void this.#loads.evict(adapter).then((evicted) => {
      controller.evictionEnded(this.#now(), { adapter, evicted });
      this.#act();
    });
  }

  #end(request: RequestId, result: Result<GenerationEnd, Failure>): void {
    this.#held.remove(request)?.sink.onEnd(result);
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }

  #failure(reason: Failure["reason"], message: string): Failure {
    return {
      reason,
      step: "dispatch",
      peer: this.#parts.engine,
      message,
      outcome: "not_run",
    };
  }
}

function isAdapterMissing(result: Result<GenerationEnd, Failure>): boolean {
  return result.isErr() && result.error.outcome === "not_run" &&
    result.error.reason === "not_found";
}

function superseded(engine: EngineId): Failure {
  return {
    reason: "cancelled",
    step: "dispatch",
    peer: engine,
    message: "A later attempt at the request took its place.",
    outcome: "unknown",
  };
}
