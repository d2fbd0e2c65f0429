import {
  chooseDisplaced,
  EnginePace,
  OwnHistory,
  RequestBook,
  TARGET_RATIO,
  type WaitingRequest,
} from "../dispatch/mod.ts";
import type { LoadWish } from "../loads/mod.ts";
import {
  type AdapterStanding,
  type EngineSummary,
  EngineView,
  placeWait,
  type StandingAdapter,
  textHash,
} from "../placement/mod.ts";
import {
  EngineResidency,
  type FoundResidences,
  type FoundState,
} from "../residency/mod.ts";
import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  type ClassId,
  type Duration,
  elapsed,
  type EngineId,
  type Instant,
  milliseconds,
  type RequestId,
} from "../shared/mod.ts";
import { AdapterValue, type AdapterValueParts } from "./adapter_value.ts";
import type {
  EngineCapacity,
  EngineDecision,
  EngineReport,
  QueuedRequest,
} from "./engine_event.ts";
import { GiveUpTimer } from "./give_up_timer.ts";
import { LoadPlanner, type PrefetchCandidate } from "./load_planner.ts";

/** What a controller works with. */
export interface EngineControllerParts extends AdapterValueParts {
  readonly engine: EngineId;
  readonly capacity: EngineCapacity;
}

/** How many awaited adapters a summary names. */
const SUMMARISED_AWAITED = 64;
/** A pace that an engine of middling speed has, for weights of homes. */
const COMMON_TOKEN_TIME = 20;
/** Others' requests take at most this share of a batch away from us. */
const OTHERS_SHARE = 0.5;

/**
 * Decides for one engine: which adapters it holds and which requests run on
 * it. Only the engine's controlling node has one.
 */
export class EngineController extends EngineView {
  override readonly engine: EngineId;
  override readonly hash: number;
  readonly #parts: EngineControllerParts;
  readonly #residency: EngineResidency;
  readonly #book = new RequestBook();
  readonly #pace = new EnginePace();
  readonly #history = new OwnHistory();
  readonly #giveUp = new GiveUpTimer();
  readonly #planner: LoadPlanner;
  #others = 0;
  #isClosed = false;

  /** @param parts What the controller works with. */
  constructor(parts: EngineControllerParts) {
    super();
    this.engine = parts.engine;
    this.hash = textHash(parts.engine);
    this.#parts = parts;
    this.#residency = new EngineResidency(parts.capacity.adapterSlots);
    this.#planner = new LoadPlanner({
      engine: parts.engine,
      residency: this.#residency,
      book: this.#book,
      value: new AdapterValue(parts),
    });
  }

  /** How many requests wait. */
  get waiting(): number {
    return this.#book.waiting;
  }

  /** How many requests have a place in the batch. */
  get running(): number {
    return this.#book.running.size;
  }

  /** How many adapters are waited for. */
  get awaitedAdapters(): number {
    return this.#book.blocked.adapters;
  }

  /** The adapters in slots. */
  get residency(): EngineResidency {
    return this.#residency;
  }

  override get weight(): number {
    const pace = Math.sqrt(COMMON_TOKEN_TIME / Math.max(1, this.#pace.token));
    return this.#parts.capacity.adapterSlots * pace;
  }

  override get batchCapacity(): number {
    return this.#parts.capacity.batchCapacity;
  }

  override get firstTokenTime(): Duration {
    return this.#pace.firstToken;
  }

  override get serviceTime(): Duration {
    return this.#pace.service;
  }

  override standing(key: AdapterKey): AdapterStanding {
    const residence = this.#residency.find(key);
    if (residence?.state === "resident") return "resident";
    if (residence?.state === "loading") return "loading";
    if (this.#planner.isAwaiting(key)) return "loading";
    return this.#book.blocked.has(key) ? "awaited" : "absent";
  }

  override placeWait(_now: Instant, target: Duration): Duration {
    return placeWait({
      places: this.#places(),
      running: this.#book.running.size,
      yielding: this.#book.runningAtLeast(TARGET_RATIO * target),
      ahead: this.#book.ready.countAhead(target),
      serviceTime: this.#pace.service,
    });
  }

  override canMakeRoom(): boolean {
    return this.#residency.freeSlots > 0 || this.#residency.hasIdle();
  }

  override loadsAhead(target: Duration): number {
    return Math.min(
      this.#book.blocked.adapters,
      this.#book.blockedAhead(target),
    );
  }

  /** What other nodes are told, besides the adapters. */
  get summary(): EngineSummary {
    return {
      engine: this.engine,
      weight: this.weight,
      firstTokenTime: this.firstTokenTime,
      serviceTime: this.serviceTime,
      batchCapacity: this.batchCapacity,
      places: this.#places(),
      running: this.running,
      awaitedAdapters: this.awaitedAdapters,
      canMakeRoom: this.canMakeRoom(),
      ready: this.#book.ready.loads,
      blocked: this.#book.blockedLoads,
      runningByTarget: this.#book.runningLoads,
    };
  }

  /**
   * Lists the adapters that are here or waited for.
   * @returns The adapters; of those waited for, only some.
   */
  standings(): readonly StandingAdapter[] {
    const standings = new Map<AdapterKey, StandingAdapter>();
    for (const { key, adapter } of this.#residency.all) {
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    for (const { key, adapter } of this.#book.blocked.lines) {
      if (standings.size >= this.#slots() + SUMMARISED_AWAITED) break;
      standings.set(key, { key, adapter, standing: this.standing(key) });
    }
    return [...standings.values()];
  }

  /**
   * Takes in what the engine says that it holds, after a restart or takeover.
   * @param now The present time.
   * @param found The engine's own state.
   */
  takeIn(now: Instant, found: FoundResidences): void {
    this.#residency.takeIn(now, found);
    for (const residence of this.#residency.all) this.#reindex(residence.key);
  }

  /** Whether adapters were found that others may still use or load. */
  get hasUnproven(): boolean {
    return this.#residency.hasUnproven();
  }

  /**
   * Compares adapters that were found with a later state of the engine.
   * @param now The present time.
   * @param state What the engine holds, and uses for requests of others.
   */
  found(now: Instant, state: FoundState): void {
    const { gone, loaded } = this.#residency.compare(now, state);
    for (const key of loaded) this.#book.unblock(now, key);
    for (const key of gone) this.#book.block(now, key);
    for (const key of [...loaded, ...gone]) this.#reindex(key);
  }

  /**
   * Takes note that the engine does not have an adapter that it should have.
   * @param now The present time.
   * @param adapter The adapter.
   */
  adapterMissing(now: Instant, adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    if (!this.#residency.lose(key)) return;
    this.#book.block(now, key);
    this.#reindex(key);
  }

  /**
   * Queues a request.
   * @param now The present time.
   * @param queued The request.
   */
  submit(now: Instant, queued: QueuedRequest): void {
    const key = adapterKey(queued.adapter);
    const resident = this.#residency.isResident(key);
    const request = this.#book.submit(now, queued, resident);
    this.#giveUp.watch(request);
    if (!resident) this.#reindex(key);
  }

  /**
   * Forgets a request that waits.
   * @param request The request.
   * @returns Whether it waited here, and so will not run.
   */
  withdraw(request: RequestId): boolean {
    const found = this.#book.find(request);
    if (found === undefined || isAtEngine(found)) return false;
    this.#forget(found);
    return true;
  }

  /**
   * Takes all waiting requests back, to be handed to another controller.
   * @param now The present time.
   * @returns The requests, with the time that they waited here.
   */
  handBack(now: Instant): readonly QueuedRequest[] {
    const waiting = [...this.#book.all].filter((one) => !isAtEngine(one));
    for (const request of waiting) this.#forget(request);
    return waiting.map(({ queued, submittedAt }) => ({
      ...queued,
      waitedBefore: milliseconds(
        queued.waitedBefore + elapsed(submittedAt, now),
      ),
    }));
  }

  /** Lists the requests that are here. */
  requests(): readonly RequestId[] {
    return [...this.#book.all].map((request) => request.queued.request);
  }

  /** Withdraws everything that this controller told the index. */
  close(): void {
    this.#isClosed = true;
    for (const { key } of this.#residency.all) this.#unindex(key);
    for (const { key } of this.#book.blocked.lines) this.#unindex(key);
  }

  /**
   * Takes note that a load ended.
   * @param now The present time.
   * @param load The adapter, and whether it is now resident.
   */
  loadEnded(
    now: Instant,
    load: { readonly adapter: AdapterReference; readonly loaded: boolean },
  ): void {
    const key = adapterKey(load.adapter);
    const { loaded } = load;
    if (!this.#residency.loadEnded(now, { key, loaded })) return;
    this.#planner.loadEnded(now, key, loaded);
    if (loaded) this.#book.unblock(now, key);
    this.#reindex(key);
  }

  /**
   * Takes note that an eviction ended.
   * @param now The present time.
   * @param eviction The adapter, and whether it has left.
   */
  evictionEnded(
    now: Instant,
    eviction: {
      readonly adapter: AdapterReference;
      readonly evicted: boolean;
    },
  ): void {
    const key = adapterKey(eviction.adapter);
    const { evicted } = eviction;
    if (!this.#residency.evictionEnded(now, { key, evicted })) return;
    if (!evicted) this.#book.unblock(now, key);
    const next = this.#planner.afterEviction(now, key, evicted);
    this.#reindex(key);
    if (next !== undefined) this.#reindex(next);
  }

  /**
   * Takes note of a first token.
   * @param now The present time.
   * @param request The request.
   */
  firstToken(now: Instant, request: RequestId): void {
    const found = this.#book.find(request);
    if (found === undefined || found.firstTokenAt !== undefined) return;
    found.firstTokenAt = now;
    this.#pace.firstTokenCame(now, found);
  }

  /**
   * Takes note that a dispatched request ended, however it did.
   * @param now The present time.
   * @param request The request.
   * @param generatedTokens How many tokens it generated here.
   */
  requestEnded(
    now: Instant,
    request: RequestId,
    generatedTokens: number,
  ): void {
    const found = this.#book.find(request);
    if (found === undefined || !isAtEngine(found)) return;
    this.#pace.ended(now, found, generatedTokens);
    this.#residency.unpin(now, found.key);
    this.#book.remove(found);
    this.#history.record(now, this.#book.atEngine);
  }

  /**
   * Takes note of the engine's report of its load, which lags.
   * @param now The present time.
   * @param report The report.
   */
  reported(now: Instant, report: EngineReport): void {
    this.#pace.stepReported(report.stepTime);
    this.#others = this.#history.othersIn(now, {
      held: report.running + report.waiting,
      age: report.age,
    });
  }

  /**
   * Changes the target of a class, also for requests that wait.
   * @param id The class.
   * @param target The new target.
   */
  retarget(id: ClassId, target: Duration): void {
    this.#book.retarget(id, target);
  }

  /**
   * Lists the adapters that the engine wants most.
   * @param now The present time.
   * @param prefetch Adapters worth having before anyone waits for them.
   * @returns A few wishes.
   */
  wishes(
    now: Instant,
    prefetch: readonly PrefetchCandidate[],
  ): readonly LoadWish[] {
    return this.#planner.wishes(now, prefetch);
  }

  /**
   * Takes a permit to load an adapter.
   * @param now The present time.
   * @param adapter The adapter.
   * @returns Whether it is used; otherwise it is to be given back.
   */
  usePermit(now: Instant, adapter: AdapterReference): boolean {
    const key = adapterKey(adapter);
    const used = this.#planner.usePermit(now, adapter, key);
    if (used) this.#parts.index.add(key, this.engine);
    return used;
  }

  /**
   * Decides what to do now.
   * @param now The present time.
   * @returns The decisions, in the order in which to carry them out.
   */
  decide(now: Instant): readonly EngineDecision[] {
    const decisions = [...this.#planner.takeOrders()];
    this.#refuseHopeless(now, decisions);
    this.#dispatch(now, decisions);
    return decisions;
  }

  /** When a waiting request may have to be given up. */
  get nextGiveUp(): Instant | undefined {
    return this.#giveUp.next;
  }

  #dispatch(now: Instant, decisions: EngineDecision[]): void {
    for (;;) {
      const request = this.#book.ready.peek(now);
      if (request === undefined) return;
      if (this.#book.running.size >= this.#places()) {
        const displaced = this.#chooseDisplaced(now, request);
        if (displaced === undefined) return;
        this.#book.displace(displaced);
        const id = displaced.queued.request;
        decisions.push({ kind: "preempt", request: id });
      }
      decisions.push(this.#start(now, request));
    }
  }

  #start(now: Instant, request: WaitingRequest): EngineDecision {
    const queueWait = elapsed(request.submittedAt, now) - request.loadStall;
    if (!request.displaced) this.#residency.pin(now, request.key);
    this.#book.start(now, request);
    this.#history.record(now, this.#book.atEngine);
    return {
      kind: "dispatch",
      request: request.queued.request,
      priority: -Math.round(request.deadline),
      queueWait: milliseconds(queueWait),
      loadStall: request.loadStall,
    };
  }

  #chooseDisplaced(
    now: Instant,
    urgent: WaitingRequest,
  ): WaitingRequest | undefined {
    const longEnough = TARGET_RATIO * urgent.target;
    if (this.#book.runningAtLeast(longEnough) === 0) return undefined;
    return chooseDisplaced(now, this.#book.running, urgent);
  }

  #refuseHopeless(now: Instant, decisions: EngineDecision[]): void {
    for (const request of this.#giveUp.due(now)) {
      if (isAtEngine(request) || request.place === "over") continue;
      if (!this.#harmsOthers(request)) {
        this.#giveUp.watchAgain(now, request);
        continue;
      }
      this.#forget(request);
      decisions.push({
        kind: "refuse",
        request: request.queued.request,
        retryAfter: request.target,
      });
    }
  }

  #harmsOthers(request: WaitingRequest): boolean {
    return request.place === "ready"
      ? this.#book.ready.size > 1
      : this.#book.blocked.size > 1;
  }

  #slots(): number {
    return this.#parts.capacity.adapterSlots;
  }

  #places(): number {
    const { batchCapacity } = this.#parts.capacity;
    const others = Math.min(this.#others, OTHERS_SHARE * batchCapacity);
    return Math.max(1, Math.floor(batchCapacity - others));
  }

  #forget(request: WaitingRequest): void {
    this.#book.remove(request);
    this.#reindex(request.key);
  }

  #reindex(key: AdapterKey): void {
    if (this.#isClosed) return;
    if (this.standing(key) === "absent") this.#unindex(key);
    else this.#parts.index.add(key, this.engine);
  }

  #unindex(key: AdapterKey): void {
    this.#parts.index.remove(key, this.engine);
  }
}

function isAtEngine(request: WaitingRequest): boolean {
  return request.place === "running" || request.displaced;
}
