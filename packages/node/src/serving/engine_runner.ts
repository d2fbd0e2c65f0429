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
import type { PartLogger } from "../logging/part_logger.ts";
import { type CrashMemory, EngineSuspects } from "../crashes/mod.ts";
import type { AdapterAggregates } from "./adapter_aggregates.ts";
import { EngineGenerations } from "./engine_generations.ts";
import { EngineLoads } from "./engine_loads.ts";
import { EngineStateFollower } from "./engine_state_follower.ts";
import { EngineWatch } from "./engine_watch.ts";
import type { EngineViews } from "./engine_views.ts";
import type { GenerationRequest } from "./generation_request.ts";
import { heldRequest, type ReturnedRequest } from "./held_requests.ts";
import type { OrderRight } from "./order_right.ts";
import type { LoadPermits } from "./permits/load_permits.ts";
import { WishOffer } from "./permits/wish_offer.ts";

const TICK_MILLISECONDS = 50;

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
  readonly crashes: CrashMemory;
}

/** Carries out an engine controller's decisions on the engine. */
export class EngineRunner {
  readonly #parts: EngineRunnerParts;
  readonly #generations: EngineGenerations;
  readonly #loads: EngineLoads;
  readonly #model: ModelId;
  readonly #follower: EngineStateFollower;
  readonly #watch: EngineWatch;
  readonly #timer: NodeJS.Timeout;
  readonly #wishes: WishOffer;
  readonly #suspects: EngineSuspects;
  #controller: EngineController;
  #controlledSince: Instant = CLOCK_START;
  #isReachable = true;

  private constructor(parts: EngineRunnerParts, found: EngineState) {
    this.#parts = parts;
    this.#loads = new EngineLoads(parts);
    this.#model = found.model;
    this.#wishes = new WishOffer(parts);
    this.#suspects = new EngineSuspects(parts.engine, parts.crashes);
    this.#controller = this.#control(found);
    this.#follower = new EngineStateFollower({
      ...parts,
      prefixes: parts.aggregates.prefixes,
      controller: () => this.#controller,
      controlledSince: () => this.#controlledSince,
      isHeld: (request) => this.#generations.holds(request),
      restarted: (state, over) => {
        this.#suspects.ended(this.#now(), over);
        this.#restarted(state);
      },
      reachable: (isReachable) => {
        this.#setReachable(isReachable);
      },
    });
    this.#watch = new EngineWatch({
      engine: parts.engine,
      client: parts.client,
      watcher: this.#follower,
      bootId: found.bootId,
    });
    this.#generations = new EngineGenerations({
      ...parts,
      controller: () => this.#controller,
      follower: this.#follower,
      watch: this.#watch,
      suspects: this.#suspects,
      changed: () => {
        this.#act();
      },
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

  /** Whether the engine takes connections, as far as is known. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  #setReachable(isReachable: boolean): void {
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    const { engine, logger, views } = this.#parts;
    if (isReachable) views.put(this.#controller);
    else {
      views.drop(this.#controller);
      this.#suspects.ended(this.#now(), this.#watch.bootId);
    }
    const word = isReachable ? "is reached again" : "refuses connections";
    logger.warn(`An engine ${word}.`, { engine });
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
    const handle = this.#generations.takeOver({ generation, sink });
    if (handle !== undefined) return handle;
    this.#noteDemand(generation);
    const queued = this.#generations.queue(heldRequest(generation, sink));
    this.#act();
    return queued;
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
    const waiting = this.#generations.handBack();
    this.#controller.close();
    return waiting;
  }

  #restarted(state: EngineState): void {
    const { engine, logger, views } = this.#parts;
    logger.warn("An engine has restarted.", { engine });
    const waiting = this.#generations.undispatched;
    views.drop(this.#controller);
    this.#controller.close();
    this.#controller = this.#control(state);
    for (const held of waiting) this.#generations.queue(held);
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
    controller.adoptState(this.#controlledSince, found);
    views.put(controller);
    return controller;
  }

  #noteDemand({ adapter, firstTokenTarget }: GenerationRequest): void {
    const key = adapterKey(adapter);
    const arrival = { key, adapter, target: firstTokenTarget };
    this.#parts.aggregates.demand.recordArrival(this.#now(), arrival);
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
    aggregates.scout.update(now, views.running(this.#model));
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
        this.#generations.dispatch(decision);
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
        this.#generations.refuse(decision.request, decision.retryAfter);
        break;
    }
  }

  #load(decision: Extract<EngineDecision, { readonly kind: "load" }>): void {
    const controller = this.#controller;
    const waiting = this.#generations.waitingFor(adapterKey(decision.adapter));
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

  #now(): Instant {
    return this.#parts.clock.now();
  }
}
