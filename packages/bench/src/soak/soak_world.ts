import {
  AdapterServingPolicy,
  assertInvariant,
  type DeploymentEvent,
  type DeploymentOrder,
  type Duration,
  instant,
  later,
  milliseconds,
  type RequestId,
  tenantId,
} from "@foxtailwind/core";
import { SoakEngines } from "./soak_engines.ts";
import { adapterOf, classOf, idOf, pick } from "./soak_names.ts";
import { type SoakCounts, SoakRequests } from "./soak_requests.ts";
import { SOAK_ENGINES, type SoakStep } from "./soak_step.ts";

const LOADS_PER_SECOND = 5;
const CONCURRENT_LOADS = 2;
const PREFIX = "prefix";
const TARGETS = [500, 2_000, 30_000];

/**
 * A deployment whose every step the soak draws. It asserts that each request
 * ends once, runs only on its adapter, and is not run after a refusal.
 */
export class SoakWorld {
  readonly #requests = new SoakRequests();
  readonly #policy = new AdapterServingPolicy({
    loadsPerSecond: LOADS_PER_SECOND,
    concurrentLoads: CONCURRENT_LOADS,
  });
  readonly #engines = new SoakEngines();
  readonly #targets: Duration[] = TARGETS.map(milliseconds);
  #now = instant(0);

  constructor() {
    for (let index = 0; index < SOAK_ENGINES; index += 1) this.#start(index);
  }

  /** What has happened so far. */
  get counts(): Readonly<SoakCounts> {
    return this.#requests.counts;
  }

  /** How many requests have not ended. */
  get open(): number {
    return this.#requests.size;
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
      if (this.#engines.find(idOf(index)) === undefined) this.#start(index);
    }
    const rounds = 50 + 40 * this.#requests.size;
    for (let round = 0; round < rounds && this.#requests.size > 0; round += 1) {
      this.step({ kind: "end_load", choice: 0, loaded: true });
      this.step({ kind: "end_eviction", choice: 0, evicted: true });
      this.step({ kind: "end_request", choice: round });
      this.step({ kind: "wait", milliseconds: 500 });
    }
    assertInvariant(
      this.#requests.size === 0,
      "every_request_ends",
      () => `Open: ${JSON.stringify(this.#requests.open.slice(0, 3))}.`,
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
    const adapter = adapterOf(step.adapter, step.version);
    const asked = { adapter, class: step.class };
    const request = this.#requests.add(this.#now, asked);
    this.#arrive(request, step.tenant);
  }

  #arrive(request: RequestId, tenant: number): void {
    const open = this.#requests.find(request);
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
    const [request, open] = pick(this.#requests.open, choice) ?? [];
    if (request === undefined || open === undefined) return;
    if (open.state === "cancelling") return;
    this.#tell({ kind: "request_cancelled", request });
    if (open.engine !== undefined) {
      open.state = "cancelling";
      return;
    }
    this.#requests.cancelled(request);
  }

  #endLoad(choice: number, loaded: boolean): void {
    const moving = this.#engines.pickMoving("loading", choice);
    if (moving === undefined) return;
    const { engine, key, adapter } = moving;
    engine.endLoad(key, loaded);
    if (!loaded) this.#requests.counts.failedLoads += 1;
    this.#tell({
      kind: "load_ended",
      engine: engine.engine,
      adapter,
      loaded,
    });
  }

  #endEviction(choice: number, evicted: boolean): void {
    const moving = this.#engines.pickMoving("evicting", choice);
    if (moving === undefined) return;
    const { engine, key, adapter } = moving;
    engine.endEviction(key, evicted);
    this.#tell({
      kind: "eviction_ended",
      engine: engine.engine,
      adapter,
      evicted,
    });
  }

  #firstToken(choice: number): void {
    const [engine, request] = pick(this.#engines.running(), choice) ?? [];
    if (engine === undefined || request === undefined) return;
    const running = engine.running.get(request);
    if (running === undefined || running.hasFirstToken) return;
    running.hasFirstToken = true;
    this.#tell({ kind: "first_token", engine: engine.engine, request });
  }

  #endRequest(choice: number): void {
    const [engine, request] = pick(this.#engines.running(), choice) ?? [];
    if (engine === undefined || request === undefined) return;
    engine.running.delete(request);
    this.#requests.close(request);
    this.#tell({
      kind: "request_ended",
      engine: engine.engine,
      request,
      generatedTokens: 20,
    });
  }

  #stop(index: number): void {
    const engine = this.#engines.find(idOf(index));
    if (engine === undefined) return;
    this.#requests.counts.restarts += 1;
    this.#engines.remove(engine.engine);
    this.#tell({ kind: "engine_left", engine: engine.engine });
    for (const [request, { hasFirstToken }] of engine.running) {
      const open = this.#requests.find(request);
      if (hasFirstToken || open.state === "cancelling") {
        this.#requests.close(request);
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
    this.#engines.start(engine, capacity);
    this.#tell({ kind: "engine_started", engine, capacity });
  }

  #report(step: Extract<SoakStep, { readonly kind: "report" }>): void {
    const engine = this.#engines.find(idOf(step.engine));
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
    const loading = this.#engines.everywhere("loading").length;
    assertInvariant(
      loading <= CONCURRENT_LOADS,
      "loads_within_weight_store_limits",
      () => `${loading} loads run.`,
    );
  }

  #carryOut(order: DeploymentOrder): void {
    switch (order.kind) {
      case "dispatch": {
        const { engine, request } = order;
        const adapter = this.#requests.dispatch(request, engine);
        this.#engines.live(engine).dispatch(request, adapter);
        break;
      }
      case "load":
        this.#requests.counts.loads += 1;
        this.#engines.live(order.engine).load(order.adapter);
        break;
      case "evict":
        this.#requests.counts.evictions += 1;
        this.#engines.live(order.engine).evict(order.adapter);
        break;
      case "preempt":
        this.#requests.counts.preemptions += 1;
        break;
      case "refuse":
        this.#requests.refuse(order.request);
        break;
    }
  }
}
