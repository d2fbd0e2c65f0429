import {
  adapterKey,
  type AdapterReference,
  CLOCK_START,
  EngineController,
  type EngineDecision,
  type EngineId,
  type Failure,
  type Instant,
  type ModelId,
  type RequestObserver,
} from "@foxtailwind/core";
import type {
  EngineClient,
  EngineState,
  GenerationHandle,
  GenerationSink,
} from "@foxtailwind/edges";
import type { Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";
import { type CrashMemory, EngineSuspects } from "../crashes/mod.ts";
import type { AdapterAggregates } from "./adapter_aggregates.ts";
import { EngineGenerations } from "./engine_generations.ts";
import { EngineLoads } from "./engine_loads.ts";
import { EngineStateTracker } from "./engine_state_tracker.ts";
import { EnginePoller } from "./engine_poller.ts";
import type { EngineViews } from "./engine_views.ts";
import type { GenerationRequest } from "./generation_request.ts";
import {
  pendingGeneration,
  type RequestWithSink,
} from "./pending_generations.ts";
import type { OrderAuthorizer } from "./order_authorizer.ts";
import type { LoadPermits } from "./permits/load_permits.ts";
import { WishPublisher } from "./permits/wish_publisher.ts";

const DECISION_INTERVAL_MILLISECONDS = 50;

/** The dependencies of an {@link EngineRunner}. */
export interface EngineRunnerParts {
  readonly engine: EngineId;
  readonly client: EngineClient;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
  readonly observer: RequestObserver;
  readonly orderAuthorizer: OrderAuthorizer;
  readonly permits: LoadPermits;
  readonly aggregates: AdapterAggregates;
  readonly views: EngineViews;
  readonly crashes: CrashMemory;
}

/** Executes an engine controller's decisions on the engine. */
export class EngineRunner {
  readonly #parts: EngineRunnerParts;
  readonly #generations: EngineGenerations;
  readonly #engineLoads: EngineLoads;
  readonly #model: ModelId;
  readonly #stateTracker: EngineStateTracker;
  readonly #poller: EnginePoller;
  readonly #timer: NodeJS.Timeout;
  readonly #wishPublisher: WishPublisher;
  readonly #suspects: EngineSuspects;
  #controller: EngineController;
  #controlledSince: Instant = CLOCK_START;
  #isReachable = true;

  private constructor(parts: EngineRunnerParts, initialState: EngineState) {
    this.#parts = parts;
    this.#engineLoads = new EngineLoads(parts);
    this.#model = initialState.model;
    this.#wishPublisher = new WishPublisher(parts);
    this.#suspects = new EngineSuspects(parts.engine, parts.crashes);
    this.#controller = this.#createController(initialState);
    this.#stateTracker = new EngineStateTracker({
      ...parts,
      prefixes: parts.aggregates.prefixes,
      controller: () => this.#controller,
      controlledSince: () => this.#controlledSince,
      hasRequest: (request) => this.#generations.has(request),
      onRestart: (state, previousBootId) => {
        this.#suspects.recordRunEnd(this.#now(), previousBootId);
        this.#handleRestart(state);
      },
      setReachable: (isReachable) => {
        this.#setReachable(isReachable);
      },
    });
    this.#poller = new EnginePoller({
      engine: parts.engine,
      client: parts.client,
      listener: this.#stateTracker,
      bootId: initialState.bootId,
    });
    this.#generations = new EngineGenerations({
      ...parts,
      controller: () => this.#controller,
      stateTracker: this.#stateTracker,
      poller: this.#poller,
      suspects: this.#suspects,
      onChange: () => {
        this.#executeDecisions();
      },
    });
    parts.permits.register(parts.engine, (adapter) => {
      this.#usePermit(adapter);
    });
    this.#timer = setInterval(() => {
      this.#executeDecisions();
    }, DECISION_INTERVAL_MILLISECONDS);
    void this.#poller.run();
  }

  /**
   * Reads the engine's state and starts controlling it.
   * @param parts The dependencies of the runner.
   * @returns The runner, or why the engine could not be read.
   */
  static async start(
    parts: EngineRunnerParts,
  ): Promise<Result<EngineRunner, Failure>> {
    const state = await parts.client.readState();
    return state.map((found) => new EngineRunner(parts, found));
  }

  /** The current controller of the engine. */
  get controller(): EngineController {
    return this.#controller;
  }

  /** Whether the engine accepts connections, as far as is known. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  #setReachable(isReachable: boolean): void {
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    const { engine, logger, views } = this.#parts;
    if (isReachable) views.put(this.#controller);
    else {
      views.remove(this.#controller);
      this.#suspects.recordRunEnd(this.#now(), this.#poller.bootId);
    }
    const change = isReachable ? "is reachable again" : "refuses connections";
    logger.warn(`An engine ${change}.`, { engine });
  }

  /**
   * Queues a request.
   * @param generation The request.
   * @param sink Receives the answer.
   * @returns The handle of the generation.
   */
  submit(
    generation: GenerationRequest,
    sink: GenerationSink,
  ): GenerationHandle {
    const handle = this.#generations.resume({ generation, sink });
    if (handle !== undefined) return handle;
    this.#recordDemand(generation);
    const queued = this.#generations.queue(pendingGeneration(generation, sink));
    this.#executeDecisions();
    return queued;
  }

  /**
   * Stops controlling the engine. Requests in progress continue.
   * @returns The waiting requests, to be sent to another controller.
   */
  stop(): readonly RequestWithSink[] {
    clearInterval(this.#timer);
    this.#poller.stop();
    this.#engineLoads.stop();
    this.#parts.permits.unregister(this.#parts.engine);
    this.#parts.views.remove(this.#controller);
    const waiting = this.#generations.withdrawWaiting();
    this.#controller.close();
    return waiting;
  }

  #handleRestart(state: EngineState): void {
    const { engine, logger, views } = this.#parts;
    logger.warn("An engine has restarted.", { engine });
    const undispatched = this.#generations.undispatched;
    views.remove(this.#controller);
    this.#controller.close();
    this.#controller = this.#createController(state);
    for (const pending of undispatched) this.#generations.queue(pending);
    this.#executeDecisions();
  }

  #createController(state: EngineState): EngineController {
    const { aggregates, engine, views } = this.#parts;
    const controller = new EngineController({
      engine,
      capacity: state,
      index: aggregates.index,
      demand: aggregates.demand,
      loads: aggregates.loads,
    });
    this.#controlledSince = this.#now();
    controller.adoptState(this.#controlledSince, state);
    views.put(controller);
    return controller;
  }

  #recordDemand({ adapter, firstTokenTarget }: GenerationRequest): void {
    const key = adapterKey(adapter);
    const arrival = { key, adapter, target: firstTokenTarget };
    this.#parts.aggregates.demand.recordArrival(this.#now(), arrival);
  }

  #executeDecisions(): void {
    const now = this.#now();
    for (const decision of this.#controller.decide(now)) {
      this.#execute(decision);
    }
    this.#publishWishes();
  }

  #publishWishes(): void {
    const { aggregates, engine, views } = this.#parts;
    const now = this.#now();
    aggregates.prefetchPlanner.update(now, views.running(this.#model));
    const prefetch = aggregates.prefetchPlanner.candidates(now, engine);
    this.#wishPublisher.publish(now, this.#controller.wishes(now, prefetch));
  }

  #usePermit(adapter: AdapterReference): void {
    if (!this.#controller.usePermit(this.#now(), adapter)) {
      this.#releasePermit(adapter, false);
      return;
    }
    for (const decision of this.#controller.decide(this.#now())) {
      this.#execute(decision);
    }
  }

  #releasePermit(adapter: AdapterReference, loaded: boolean): void {
    const { engine, permits } = this.#parts;
    permits.release({ engine, adapter, loaded });
  }

  #execute(decision: EngineDecision): void {
    switch (decision.kind) {
      case "dispatch":
        this.#generations.dispatch(decision);
        break;
      case "preempt":
        // The engine itself suspends work of lower priority and keeps its
        // state; cancelling would discard what it has generated.
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
        this.#releasePermit(decision.adapter, false);
        break;
      case "refuse":
        this.#generations.refuse(decision.request, decision.retryAfter);
        break;
    }
  }

  #load(decision: Extract<EngineDecision, { readonly kind: "load" }>): void {
    const controller = this.#controller;
    const waiting = this.#generations.waitingFor(adapterKey(decision.adapter));
    void this.#engineLoads.load(decision, waiting).then((loaded) => {
      const { adapter } = decision;
      this.#releasePermit(adapter, loaded);
      controller.loadEnded(this.#now(), { adapter, loaded });
      this.#executeDecisions();
    });
  }

  #evict(adapter: AdapterReference): void {
    const controller = this.#controller;
    void this.#engineLoads.evict(adapter).then((evicted) => {
      controller.evictionEnded(this.#now(), { adapter, evicted });
      this.#executeDecisions();
    });
  }

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
