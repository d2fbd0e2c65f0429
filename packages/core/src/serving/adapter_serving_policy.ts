import { type LoadLimits, LoadPermitIssuer } from "../loads/mod.ts";
import {
  AdapterRouter,
  DemandTracker,
  PrefixHistory,
  ResidenceIndex,
  type RouteChoice,
} from "../placement/mod.ts";
import {
  adapterKey,
  type EngineId,
  type Instant,
  later,
  milliseconds,
  type RequestId,
} from "../shared/mod.ts";
import { AdapterValueEstimator } from "./adapter_value_estimator.ts";
import {
  affectsDecisions,
  type DeploymentEvent,
  type DeploymentOrder,
  DeploymentPolicy,
} from "./deployment_policy.ts";
import { EngineController } from "./engine_controller.ts";
import type {
  EngineCapacity,
  EngineDecision,
  QueuedRequest,
} from "./engine_event.ts";
import { LoadGrants } from "./load_grants.ts";
import { PrefetchPlanner } from "./prefetch_planner.ts";

/** The longest time to the next decision while requests wait. */
const RECHECK_INTERVAL = milliseconds(50);

/**
 * The complete policy in one process: a controller for each engine, the router
 * of an entry node, and the ledger of load permits.
 */
export class AdapterServingPolicy extends DeploymentPolicy {
  readonly #engines = new Map<EngineId, EngineController>();
  readonly #engineByRequest = new Map<RequestId, EngineId>();
  readonly #demand = new DemandTracker();
  readonly #index = new ResidenceIndex();
  readonly #prefixes = new PrefixHistory();
  readonly #ledger: LoadPermitIssuer;
  readonly #router: AdapterRouter;
  readonly #loadGrants: LoadGrants;
  readonly #changedEngines = new Set<EngineId>();
  /** Requests for which the router found no engine. */
  readonly #unrouted = new Map<RequestId, QueuedRequest>();
  #orders: DeploymentOrder[] = [];

  /** @param limits The load limits of the weight store. */
  constructor(limits: LoadLimits) {
    super();
    this.#ledger = new LoadPermitIssuer(limits);
    const parts = {
      index: this.#index,
      prefixes: this.#prefixes,
      loads: this.#ledger,
      demand: this.#demand,
    };
    this.#router = new AdapterRouter(parts);
    const value = new AdapterValueEstimator(parts);
    this.#loadGrants = new LoadGrants({
      ledger: this.#ledger,
      prefetchPlanner: new PrefetchPlanner({
        ...parts,
        router: this.#router,
        value,
      }),
      engines: this.#engines,
    });
  }

  override handle(now: Instant, event: DeploymentEvent): void {
    switch (event.kind) {
      case "request_arrived":
        this.#onArrival(now, event.queued);
        break;
      case "request_cancelled":
        this.#onCancelled(event.request);
        break;
      case "engine_started":
        this.#onEngineStarted(now, event.engine, event.capacity);
        break;
      case "engine_left":
        this.#onEngineLeft(now, event.engine);
        break;
      case "target_changed":
        for (const controller of this.#engines.values()) {
          controller.retarget(event.class, event.firstTokenTarget);
        }
        break;
      case "load_ended":
      case "eviction_ended":
      case "first_token":
      case "request_ended":
      case "engine_reported":
      case "prefix_event":
        this.#onEngineEvent(now, event);
        break;
    }
  }

  override decide(now: Instant): readonly DeploymentOrder[] {
    for (const engine of this.#loadGrants.grant(now)) {
      this.#changedEngines.add(engine);
    }
    this.#markDueGiveUps(now);
    for (const engine of this.#changedEngines) this.#decideFor(now, engine);
    this.#changedEngines.clear();
    const orders = this.#orders;
    if (orders.length > 0) this.#orders = [];
    return orders;
  }

  override nextWake(now: Instant): Instant | undefined {
    const hasWaiting = [...this.#engines.values()]
      .some((controller) => controller.waiting > 0);
    if (!hasWaiting) return undefined;
    const nextGrantAt = this.#ledger.nextGrantAt(now);
    return nextGrantAt > now ? nextGrantAt : later(now, RECHECK_INTERVAL);
  }

  #onArrival(now: Instant, queued: QueuedRequest): void {
    this.#demand.recordArrival(now, {
      key: adapterKey(queued.adapter),
      adapter: queued.adapter,
      target: queued.firstTokenTarget,
    });
    this.#route(now, queued);
  }

  #route(now: Instant, queued: QueuedRequest): void {
    const choice = this.#router.route(now, queued, this.#engines);
    switch (choice.kind) {
      case "engine":
        this.#submit(now, queued, choice);
        break;
      case "refuse":
        this.#orders.push({
          kind: "refuse",
          request: queued.request,
          retryAfter: choice.retryAfter,
        });
        break;
      case "no_engine":
        this.#unrouted.set(queued.request, queued);
        break;
    }
  }

  #submit(
    now: Instant,
    queued: QueuedRequest,
    choice: Extract<RouteChoice, { readonly kind: "engine" }>,
  ): void {
    const { engine } = choice;
    this.#engineByRequest.set(queued.request, engine);
    const controller = this.#engines.get(engine);
    controller?.submit(now, queued);
    if (choice.reason !== "resident") this.#loadGrants.markChanged(engine);
    this.#changedEngines.add(engine);
  }

  #onCancelled(request: RequestId): void {
    if (this.#unrouted.delete(request)) return;
    const engine = this.#engineByRequest.get(request);
    if (engine === undefined) return;
    if (this.#engines.get(engine)?.withdraw(request) !== true) return;
    this.#engineByRequest.delete(request);
  }

  #onEngineStarted(
    now: Instant,
    engine: EngineId,
    capacity: EngineCapacity,
  ): void {
    const waiting = this.#removeEngine(now, engine);
    const controller = new EngineController({
      engine,
      capacity,
      index: this.#index,
      demand: this.#demand,
      loads: this.#ledger,
    });
    this.#engines.set(engine, controller);
    this.#rerouteAll(now, waiting);
  }

  #onEngineLeft(now: Instant, engine: EngineId): void {
    this.#rerouteAll(now, this.#removeEngine(now, engine));
  }

  #removeEngine(now: Instant, engine: EngineId): readonly QueuedRequest[] {
    const controller = this.#engines.get(engine);
    if (controller === undefined) return [];
    const waiting = controller.withdrawWaiting(now);
    controller.close();
    for (const request of controller.requestIds()) {
      this.#engineByRequest.delete(request);
    }
    this.#engines.delete(engine);
    this.#ledger.removeEngine(engine);
    return waiting;
  }

  #rerouteAll(now: Instant, waiting: readonly QueuedRequest[]): void {
    const unplaced = [...this.#unrouted.values()];
    this.#unrouted.clear();
    for (const queued of [...unplaced, ...waiting]) {
      this.#engineByRequest.delete(queued.request);
      this.#route(now, queued);
    }
  }

  #onEngineEvent(
    now: Instant,
    event: Extract<DeploymentEvent, { readonly engine: EngineId }>,
  ): void {
    const controller = this.#engines.get(event.engine);
    if (controller === undefined) return;
    if (affectsDecisions(event)) this.#changedEngines.add(event.engine);
    switch (event.kind) {
      case "load_ended": {
        const key = adapterKey(event.adapter);
        this.#ledger.release(now, { ...event, key });
        controller.loadEnded(now, event);
        this.#loadGrants.markChanged(event.engine);
        break;
      }
      case "eviction_ended":
        this.#loadGrants.markChanged(event.engine);
        controller.evictionEnded(now, {
          adapter: event.adapter,
          evicted: event.evicted ?? true,
        });
        break;
      case "first_token":
        controller.firstToken(now, event.request);
        break;
      case "request_ended":
        this.#engineByRequest.delete(event.request);
        controller.requestEnded(now, event.request, event.generatedTokens);
        break;
      case "engine_reported":
        controller.reported(now, event);
        break;
      case "prefix_event":
        this.#onPrefixEvent(event);
        break;
      case "engine_started":
      case "engine_left":
        break;
    }
  }

  #onPrefixEvent(
    event: Extract<DeploymentEvent, { readonly kind: "prefix_event" }>,
  ): void {
    const prefix = { key: adapterKey(event.adapter), hash: event.prefixHash };
    if (event.change === "stored") {
      this.#prefixes.recordStored(prefix, event.engine);
    } else this.#prefixes.recordEvicted(prefix, event.engine);
  }

  #markDueGiveUps(now: Instant): void {
    for (const [engine, controller] of this.#engines) {
      const next = controller.nextGiveUpAt;
      if (next !== undefined && next <= now) this.#changedEngines.add(engine);
    }
  }

  #decideFor(now: Instant, engine: EngineId): void {
    const controller = this.#engines.get(engine);
    if (controller === undefined) return;
    for (const decision of controller.decide(now)) {
      this.#applyDecision(now, engine, decision);
    }
  }

  #applyDecision(
    now: Instant,
    engine: EngineId,
    decision: EngineDecision,
  ): void {
    switch (decision.kind) {
      case "dispatch":
      case "preempt":
      case "load":
      case "evict":
        this.#orders.push({ ...decision, engine });
        break;
      case "refuse":
        this.#engineByRequest.delete(decision.request);
        this.#orders.push(decision);
        break;
      case "return_permit":
        this.#ledger.release(now, {
          engine,
          key: adapterKey(decision.adapter),
          loaded: false,
        });
        break;
    }
  }
}
