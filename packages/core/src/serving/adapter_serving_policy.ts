import { type LoadLimits, LoadPermitLedger } from "../loads/mod.ts";
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
import { AdapterValue } from "./adapter_value.ts";
import {
  bearsOnDecisions,
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
import { PrefetchScout } from "./prefetch_scout.ts";

/** The longest time to the next decision while requests wait. */
const LOOK_AGAIN = milliseconds(50);

/**
 * The complete policy in one process: a controller for each engine, the router
 * of an entry node, and the ledger of load permits.
 */
export class AdapterServingPolicy extends DeploymentPolicy {
  readonly #engines = new Map<EngineId, EngineController>();
  readonly #locations = new Map<RequestId, EngineId>();
  readonly #demand = new DemandTracker();
  readonly #index = new ResidenceIndex();
  readonly #prefixes = new PrefixHistory();
  readonly #ledger: LoadPermitLedger;
  readonly #router: AdapterRouter;
  readonly #grants: LoadGrants;
  readonly #changed = new Set<EngineId>();
  /** Requests that arrived while there was no engine. */
  readonly #unplaced = new Map<RequestId, QueuedRequest>();
  #orders: DeploymentOrder[] = [];

  /** @param limits The load limits of the weight store. */
  constructor(limits: LoadLimits) {
    super();
    this.#ledger = new LoadPermitLedger(limits);
    const parts = {
      index: this.#index,
      prefixes: this.#prefixes,
      loads: this.#ledger,
      demand: this.#demand,
    };
    this.#router = new AdapterRouter(parts);
    const value = new AdapterValue(parts);
    this.#grants = new LoadGrants({
      ledger: this.#ledger,
      scout: new PrefetchScout({ ...parts, router: this.#router, value }),
      engines: this.#engines,
    });
  }

  override handle(now: Instant, event: DeploymentEvent): void {
    switch (event.kind) {
      case "request_arrived":
        this.#arrived(now, event.queued);
        break;
      case "request_cancelled":
        this.#cancelled(event.request);
        break;
      case "engine_started":
        this.#engineStarted(now, event.engine, event.capacity);
        break;
      case "engine_left":
        this.#engineLeft(now, event.engine);
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
        this.#atEngine(now, event);
        break;
    }
  }

  override decide(now: Instant): readonly DeploymentOrder[] {
    for (const engine of this.#grants.grant(now)) this.#changed.add(engine);
    this.#findHopeless(now);
    for (const engine of this.#changed) this.#decideAt(now, engine);
    this.#changed.clear();
    const orders = this.#orders;
    if (orders.length > 0) this.#orders = [];
    return orders;
  }

  override nextWake(now: Instant): Instant | undefined {
    const waits = [...this.#engines.values()]
      .some((controller) => controller.waiting > 0);
    if (!waits) return undefined;
    const grant = this.#ledger.nextGrantAt(now);
    return grant > now ? grant : later(now, LOOK_AGAIN);
  }

  #arrived(now: Instant, queued: QueuedRequest): void {
    this.#demand.arrived(now, {
      key: adapterKey(queued.adapter),
      adapter: queued.adapter,
      target: queued.firstTokenTarget,
    });
    this.#place(now, queued);
  }

  #place(now: Instant, queued: QueuedRequest): void {
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
        this.#unplaced.set(queued.request, queued);
        break;
    }
  }

  #submit(
    now: Instant,
    queued: QueuedRequest,
    choice: Extract<RouteChoice, { readonly kind: "engine" }>,
  ): void {
    const { engine } = choice;
    this.#locations.set(queued.request, engine);
    const controller = this.#engines.get(engine);
    controller?.submit(now, queued);
    if (choice.reason !== "resident") this.#grants.wishesChanged(engine);
    this.#changed.add(engine);
  }

  #cancelled(request: RequestId): void {
    if (this.#unplaced.delete(request)) return;
    const engine = this.#locations.get(request);
    if (engine === undefined) return;
    if (this.#engines.get(engine)?.withdraw(request) !== true) return;
    this.#locations.delete(request);
  }

  #engineStarted(
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
    this.#placeAgain(now, waiting);
  }

  #engineLeft(now: Instant, engine: EngineId): void {
    this.#placeAgain(now, this.#removeEngine(now, engine));
  }

  #removeEngine(now: Instant, engine: EngineId): readonly QueuedRequest[] {
    const controller = this.#engines.get(engine);
    if (controller === undefined) return [];
    const waiting = controller.handBack(now);
    controller.close();
    for (const request of controller.requests()) {
      this.#locations.delete(request);
    }
    this.#engines.delete(engine);
    this.#ledger.forget(engine);
    return waiting;
  }

  #placeAgain(now: Instant, waiting: readonly QueuedRequest[]): void {
    const unplaced = [...this.#unplaced.values()];
    this.#unplaced.clear();
    for (const queued of [...unplaced, ...waiting]) {
      this.#locations.delete(queued.request);
      this.#place(now, queued);
    }
  }

  #atEngine(
    now: Instant,
    event: Extract<DeploymentEvent, { readonly engine: EngineId }>,
  ): void {
    const controller = this.#engines.get(event.engine);
    if (controller === undefined) return;
    if (bearsOnDecisions(event)) this.#changed.add(event.engine);
    switch (event.kind) {
      case "load_ended": {
        const key = adapterKey(event.adapter);
        this.#ledger.finished(now, { ...event, key });
        controller.loadEnded(now, event);
        this.#grants.wishesChanged(event.engine);
        break;
      }
      case "eviction_ended":
        this.#grants.wishesChanged(event.engine);
        controller.evictionEnded(now, {
          adapter: event.adapter,
          evicted: event.evicted ?? true,
        });
        break;
      case "first_token":
        controller.firstToken(now, event.request);
        break;
      case "request_ended":
        this.#locations.delete(event.request);
        controller.requestEnded(now, event.request, event.generatedTokens);
        break;
      case "engine_reported":
        controller.reported(now, event);
        break;
      case "prefix_event":
        this.#prefixChanged(event);
        break;
      case "engine_started":
      case "engine_left":
        break;
    }
  }

  #prefixChanged(
    event: Extract<DeploymentEvent, { readonly kind: "prefix_event" }>,
  ): void {
    const prefix = { key: adapterKey(event.adapter), hash: event.prefixHash };
    if (event.change === "stored") this.#prefixes.stored(prefix, event.engine);
    else this.#prefixes.evicted(prefix, event.engine);
  }

  #findHopeless(now: Instant): void {
    for (const [engine, controller] of this.#engines) {
      const next = controller.nextGiveUp;
      if (next !== undefined && next <= now) this.#changed.add(engine);
    }
  }

  #decideAt(now: Instant, engine: EngineId): void {
    const controller = this.#engines.get(engine);
    if (controller === undefined) return;
    for (const decision of controller.decide(now)) {
      this.#carryOver(now, engine, decision);
    }
  }

  #carryOver(now: Instant, engine: EngineId, decision: EngineDecision): void {
    switch (decision.kind) {
      case "dispatch":
      case "preempt":
      case "load":
      case "evict":
        this.#orders.push({ ...decision, engine });
        break;
      case "refuse":
        this.#locations.delete(decision.request);
        this.#orders.push(decision);
        break;
      case "return_permit":
        this.#ledger.finished(now, {
          engine,
          key: adapterKey(decision.adapter),
          loaded: false,
        });
        break;
    }
  }
}
