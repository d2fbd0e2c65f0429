import {
  adapterId,
  type AdapterKey,
  type AdapterReference,
  AdapterServingPolicy,
  adapterVersion,
  assertInvariant,
  type ClassId,
  classId,
  type DeploymentEvent,
  type DeploymentOrder,
  type Duration,
  type EngineId,
  engineId,
  type Instant,
  instant,
  later,
  milliseconds,
  type RequestId,
  requestId,
  tenantId,
} from "@foxtailwind/core";
import { SoakEngine } from "./soak_engine.ts";
import { SOAK_ENGINES, type SoakStep } from "./soak_step.ts";

/** What a soak did. */
export interface SoakCounts {
  requests: number;
  answered: number;
  refused: number;
  cancelled: number;
  loads: number;
  failedLoads: number;
  evictions: number;
  preemptions: number;
  restarts: number;
}

type RequestState = "waiting" | "dispatched" | "cancelling";

interface OpenRequest {
  readonly adapter: AdapterReference;
  readonly class: number;
  readonly arrivedAt: Instant;
  state: RequestState;
  engine: EngineId | undefined;
}

const LOADS_PER_SECOND = 5;
const CONCURRENT_LOADS = 2;
const PREFIX = "prefix";
const TARGETS = [500, 2_000, 30_000];

/**
 * A deployment whose every step the soak draws. It asserts that each request
 * ends once, runs only on its adapter, and is not run after a refusal.
 */
export class SoakWorld {
  readonly counts: SoakCounts = {
    requests: 0,
    answered: 0,
    refused: 0,
    cancelled: 0,
    loads: 0,
    failedLoads: 0,
    evictions: 0,
    preemptions: 0,
    restarts: 0,
  };
  readonly #policy = new AdapterServingPolicy({
    loadsPerSecond: LOADS_PER_SECOND,
    concurrentLoads: CONCURRENT_LOADS,
  });
  readonly #engines = new Map<EngineId, SoakEngine>();
  readonly #open = new Map<RequestId, OpenRequest>();
  readonly #targets: Duration[] = TARGETS.map(milliseconds);
  #now = instant(0);

  constructor() {
    for (let index = 0; index < SOAK_ENGINES; index += 1) this.#start(index);
  }

  /** How many requests have not ended. */
  get open(): number {
    return this.#open.size;
  }

  /**
   * Lets one thing happen, and the policy decide.
   * @param step What happens.
   */
  step(step: SoakStep): void {
    this.#happen(step);
    this.#decide();
  }

  /** Lets everything end well, which must leave no request open. */
  settle(): void {
    for (let index = 0; index < SOAK_ENGINES; index += 1) {
      if (!this.#engines.has(idOf(index))) this.#start(index);
    }
    const rounds = 50 + 40 * this.#open.size;
    for (let round = 0; round < rounds && this.#open.size > 0; round += 1) {
      this.step({ kind: "end_load", choice: 0, loaded: true });
      this.step({ kind: "end_eviction", choice: 0, evicted: true });
      this.step({ kind: "end_request", choice: round });
      this.step({ kind: "wait", milliseconds: 500 });
    }
    assertInvariant(
      this.#open.size === 0,
      "every_request_ends",
      () => `Open: ${JSON.stringify([...this.#open.entries()].slice(0, 3))}.`,
    );
  }

  #happen(step: SoakStep): void {
    switch (step.kind) {
      case "request":
        this.#request(step);
        break;
      case "cancel":
        this.#cancel(step.choice);
        break;
      case "end_load":
        this.#endLoad(step.choice, step.loaded);
        break;
      case "end_eviction":
        this.#endEviction(step.choice, step.evicted);
        break;
      case "first_token":
        this.#firstToken(step.choice);
        break;
      case "end_request":
        this.#endRequest(step.choice);
        break;
      case "restart":
        this.#stop(step.engine);
        this.#start(step.engine);
        break;
      case "leave":
        this.#stop(step.engine);
        break;
      case "report":
        this.#report(step);
        break;
      case "prefix":
        this.#tell({
          kind: "prefix_event",
          engine: idOf(step.engine),
          change: step.stored ? "stored" : "evicted",
          adapter: adapterOf(step.adapter, 0),
          prefixHash: PREFIX,
        });
        break;
      case "target":
        this.#retarget(step.class, milliseconds(step.milliseconds));
        break;
      case "wait":
        this.#now = later(this.#now, milliseconds(step.milliseconds));
        break;
    }
  }

  #request(step: Extract<SoakStep, { readonly kind: "request" }>): void {
    this.counts.requests += 1;
    const request = requestId(`request-${this.counts.requests}`);
    const adapter = adapterOf(step.adapter, step.version);
    this.#open.set(request, {
      adapter,
      class: step.class,
      arrivedAt: this.#now,
      state: "waiting",
      engine: undefined,
    });
    this.#arrive(request, step.tenant);
  }

  #arrive(request: RequestId, tenant: number): void {
    const open = this.#find(request);
    this.#tell({
      kind: "request_arrived",
      queued: {
        request,
        adapter: open.adapter,
        class: classOf(open.class),
        tenant: tenantId(`tenant-${tenant}`),
        firstTokenTarget: this.#targets[open.class] ?? milliseconds(1_000),
        waitedBefore: milliseconds(this.#now - open.arrivedAt),
        promptTokens: 100,
        maximumTokens: 50,
        prefixHash: PREFIX,
      },
    });
  }

  #cancel(choice: number): void {
    const [request, open] = pick([...this.#open], choice) ?? [];
    if (request === undefined || open === undefined) return;
    if (open.state === "cancelling") return;
    this.#tell({ kind: "request_cancelled", request });
    if (open.engine !== undefined) {
      open.state = "cancelling";
      return;
    }
    this.counts.cancelled += 1;
    this.#open.delete(request);
  }

  #endLoad(choice: number, loaded: boolean): void {
    const [engine, key] = pick(this.#everywhere("loading"), choice) ?? [];
    if (engine === undefined || key === undefined) return;
    const adapter = engine.loading.get(key);
    if (adapter === undefined) return;
    engine.endLoad(key, loaded);
    if (!loaded) this.counts.failedLoads += 1;
    this.#tell({
      kind: "load_ended",
      engine: engine.engine,
      adapter,
      loaded,
    });
  }

  #endEviction(choice: number, evicted: boolean): void {
    const [engine, key] = pick(this.#everywhere("evicting"), choice) ?? [];
    if (engine === undefined || key === undefined) return;
    const adapter = engine.evicting.get(key);
    if (adapter === undefined) return;
    engine.endEviction(key, evicted);
    this.#tell({
      kind: "eviction_ended",
      engine: engine.engine,
      adapter,
      evicted,
    });
  }

  #firstToken(choice: number): void {
    const [engine, request] = pick(this.#allRunning(), choice) ?? [];
    if (engine === undefined || request === undefined) return;
    const running = engine.running.get(request);
    if (running === undefined || running.hasFirstToken) return;
    running.hasFirstToken = true;
    this.#tell({ kind: "first_token", engine: engine.engine, request });
  }

  #endRequest(choice: number): void {
    const [engine, request] = pick(this.#allRunning(), choice) ?? [];
    if (engine === undefined || request === undefined) return;
    engine.running.delete(request);
    this.#close(request);
    this.#tell({
      kind: "request_ended",
      engine: engine.engine,
      request,
      generatedTokens: 20,
    });
  }

  #close(request: RequestId): void {
    const open = this.#find(request);
    if (open.state === "cancelling") this.counts.cancelled += 1;
    else this.counts.answered += 1;
    this.#open.delete(request);
  }

  #stop(index: number): void {
    const engine = this.#engines.get(idOf(index));
    if (engine === undefined) return;
    this.counts.restarts += 1;
    this.#engines.delete(engine.engine);
    this.#tell({ kind: "engine_left", engine: engine.engine });
    for (const [request, { hasFirstToken }] of engine.running) {
      const open = this.#find(request);
      if (hasFirstToken || open.state === "cancelling") {
        this.#close(request);
        continue;
      }
      open.state = "waiting";
      open.engine = undefined;
      this.#arrive(request, 0);
    }
  }

  #start(index: number): void {
    const engine = idOf(index);
    const capacity = { adapterSlots: 2 + 2 * index, batchCapacity: 2 + index };
    this.#engines.set(engine, new SoakEngine(engine, capacity));
    this.#tell({ kind: "engine_started", engine, capacity });
  }

  #report(step: Extract<SoakStep, { readonly kind: "report" }>): void {
    const engine = this.#engines.get(idOf(step.engine));
    if (engine === undefined) return;
    this.#tell({
      kind: "engine_reported",
      engine: engine.engine,
      running: engine.running.size + step.skew,
      waiting: 0,
      stepTime: milliseconds(20),
      age: milliseconds(step.age),
    });
  }

  #retarget(index: number, target: Duration): void {
    this.#targets[index] = target;
    this.#tell({
      kind: "target_changed",
      class: classOf(index),
      firstTokenTarget: target,
    });
  }

  #tell(event: DeploymentEvent): void {
    this.#policy.handle(this.#now, event);
  }

  #decide(): void {
    for (const order of this.#policy.decide(this.#now)) this.#carryOut(order);
    this.#policy.nextWake(this.#now);
    const loading = this.#everywhere("loading").length;
    assertInvariant(
      loading <= CONCURRENT_LOADS,
      "loads_within_weight_store_limits",
      () => `${loading} loads run.`,
    );
  }

  #carryOut(order: DeploymentOrder): void {
    switch (order.kind) {
      case "dispatch":
        this.#dispatch(order.engine, order.request);
        break;
      case "load":
        this.counts.loads += 1;
        this.#engine(order.engine).load(order.adapter);
        break;
      case "evict":
        this.counts.evictions += 1;
        this.#engine(order.engine).evict(order.adapter);
        break;
      case "preempt":
        this.counts.preemptions += 1;
        break;
      case "refuse":
        this.#refuse(order.request);
        break;
    }
  }

  #dispatch(engine: EngineId, request: RequestId): void {
    const open = this.#find(request);
    assertInvariant(
      open.engine === undefined || open.engine === engine,
      "runs_at_one_engine",
      () => `${request} runs at ${open.engine ?? ""} already.`,
    );
    this.#engine(engine).dispatch(request, open.adapter);
    open.engine = engine;
    if (open.state === "waiting") open.state = "dispatched";
  }

  #refuse(request: RequestId): void {
    const open = this.#find(request);
    assertInvariant(
      open.engine === undefined,
      "refused_was_not_run",
      () => `${request} runs at ${open.engine ?? ""}.`,
    );
    this.counts.refused += 1;
    this.#open.delete(request);
  }

  #find(request: RequestId): OpenRequest {
    const open = this.#open.get(request);
    assertInvariant(
      open !== undefined,
      "request_ends_once",
      () => `${request} has ended.`,
    );
    return open;
  }

  #engine(id: EngineId): SoakEngine {
    const engine = this.#engines.get(id);
    assertInvariant(
      engine !== undefined,
      "orders_only_to_live_engines",
      () => id,
    );
    return engine;
  }

  #everywhere(
    what: "loading" | "evicting",
  ): readonly (readonly [SoakEngine, AdapterKey])[] {
    return [...this.#engines.values()].flatMap((engine) =>
      [...engine[what].keys()].map((key) => [engine, key] as const)
    );
  }

  #allRunning(): readonly (readonly [SoakEngine, RequestId])[] {
    return [...this.#engines.values()].flatMap((engine) =>
      [...engine.running.keys()].map((key) => [engine, key] as const)
    );
  }
}

function idOf(index: number): EngineId {
  return engineId(`engine-${index}`);
}

function classOf(index: number): ClassId {
  return classId(`class-${index}`);
}

function adapterOf(adapter: number, version: number): AdapterReference {
  return {
    adapter: adapterId(`adapter-${adapter}`),
    version: adapterVersion(`v${version + 1}`),
  };
}

function pick<Item>(items: readonly Item[], choice: number): Item | undefined {
  return items[choice % Math.max(1, items.length)];
}
