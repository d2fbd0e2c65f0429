import type { WaitingRequest } from "../dispatch/mod.ts";
import type { LoadWish } from "../loads/mod.ts";
import type { FoundResidences, FoundState } from "../residency/mod.ts";
import {
  type AdapterKey,
  adapterKey,
  type AdapterReference,
  type ClassId,
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  type RequestId,
} from "../shared/mod.ts";
import { EngineControllerView } from "./engine_controller_view.ts";
import type {
  EngineDecision,
  EngineReport,
  QueuedRequest,
} from "./engine_event.ts";
import { HopelessRequests } from "./hopeless_requests.ts";
import type { PrefetchCandidate } from "./load_planner.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";

/**
 * Decides for one engine: which adapters it holds and which requests run on
 * it. Only the engine's controlling node has one.
 */
export class EngineController extends EngineControllerView {
  readonly #hopeless = new HopelessRequests(this.book);
  readonly #dispatcher = new RequestDispatcher({
    book: this.book,
    residency: this.residency,
    history: this.history,
    places: () => this.places(),
  });
  #isClosed = false;

  /**
   * Takes in what the engine says that it holds, after a restart or takeover.
   * @param now The present time.
   * @param found The engine's own state.
   */
  takeIn(now: Instant, found: FoundResidences): void {
    this.residency.takeIn(now, found);
    for (const residence of this.residency.all) this.#reindex(residence.key);
  }

  /** Whether adapters were found that others may still use or load. */
  get hasUnproven(): boolean {
    return this.residency.hasUnproven();
  }

  /**
   * Compares adapters that were found with a later state of the engine.
   * @param now The present time.
   * @param state What the engine holds, and uses for requests of others.
   */
  found(now: Instant, state: FoundState): void {
    const { gone, loaded } = this.residency.compare(now, state);
    for (const key of loaded) this.book.unblock(now, key);
    for (const key of gone) this.book.block(now, key);
    for (const key of [...loaded, ...gone]) this.#reindex(key);
  }

  /**
   * Takes note that the engine does not have an adapter that it should have.
   * @param now The present time.
   * @param adapter The adapter.
   */
  adapterMissing(now: Instant, adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    if (!this.residency.lose(key)) return;
    this.book.block(now, key);
    this.#reindex(key);
  }

  /**
   * Queues a request.
   * @param now The present time.
   * @param queued The request.
   */
  submit(now: Instant, queued: QueuedRequest): void {
    const key = adapterKey(queued.adapter);
    const resident = this.residency.isResident(key);
    const request = this.book.submit(now, queued, resident);
    this.#hopeless.watch(request);
    if (!resident) this.#reindex(key);
  }

  /**
   * Forgets a request that waits.
   * @param request The request.
   * @returns Whether it waited here, and so will not run.
   */
  withdraw(request: RequestId): boolean {
    const found = this.book.find(request);
    if (found === undefined || found.isAtEngine) return false;
    this.#forget(found);
    return true;
  }

  /**
   * Takes all waiting requests back, to be handed to another controller.
   * @param now The present time.
   * @returns The requests, with the time that they waited here.
   */
  handBack(now: Instant): readonly QueuedRequest[] {
    const waiting = [...this.book.all].filter((one) => !one.isAtEngine);
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
    return [...this.book.all].map((request) => request.queued.request);
  }

  /** Withdraws everything that this controller told the index. */
  close(): void {
    this.#isClosed = true;
    for (const { key } of this.residency.all) this.#unindex(key);
    for (const { key } of this.book.blocked.lines) this.#unindex(key);
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
    if (!this.residency.loadEnded(now, { key, loaded })) return;
    this.planner.loadEnded(now, key, loaded);
    if (loaded) this.book.unblock(now, key);
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
    if (!this.residency.evictionEnded(now, { key, evicted })) return;
    if (!evicted) this.book.unblock(now, key);
    const next = this.planner.afterEviction(now, key, evicted);
    this.#reindex(key);
    if (next !== undefined) this.#reindex(next);
  }

  /**
   * Takes note of a first token.
   * @param now The present time.
   * @param request The request.
   */
  firstToken(now: Instant, request: RequestId): void {
    const found = this.book.find(request);
    if (found === undefined || found.firstTokenAt !== undefined) return;
    found.firstTokenAt = now;
    this.pace.firstTokenCame(now, found);
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
    const found = this.book.find(request);
    if (found === undefined || !found.isAtEngine) return;
    this.pace.ended(now, found, generatedTokens);
    this.residency.unpin(now, found.key);
    this.book.remove(found);
    this.history.record(now, this.book.atEngine);
  }

  /**
   * Takes note of the engine's report of its load, which lags.
   * @param now The present time.
   * @param report The report.
   */
  reported(now: Instant, report: EngineReport): void {
    this.pace.stepReported(report.stepTime);
    this.others = this.history.othersIn(now, {
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
    this.book.retarget(id, target);
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
    return this.planner.wishes(now, prefetch);
  }

  /**
   * Takes a permit to load an adapter.
   * @param now The present time.
   * @param adapter The adapter.
   * @returns Whether it is used; otherwise it is to be given back.
   */
  usePermit(now: Instant, adapter: AdapterReference): boolean {
    const key = adapterKey(adapter);
    const used = this.planner.usePermit(now, adapter, key);
    if (used) this.parts.index.add(key, this.engine);
    return used;
  }

  /**
   * Decides what to do now.
   * @param now The present time.
   * @returns The decisions, in the order in which to carry them out.
   */
  decide(now: Instant): readonly EngineDecision[] {
    const decisions = [...this.planner.takeOrders()];
    this.#refuseHopeless(now, decisions);
    this.#dispatcher.dispatch(now, decisions);
    return decisions;
  }

  /** When a waiting request may have to be given up. */
  get nextGiveUp(): Instant | undefined {
    return this.#hopeless.next;
  }

  #refuseHopeless(now: Instant, decisions: EngineDecision[]): void {
    this.#hopeless.refuseDue(now, (request) => {
      this.#forget(request);
      decisions.push({
        kind: "refuse",
        request: request.queued.request,
        retryAfter: request.target,
      });
    });
  }

  #forget(request: WaitingRequest): void {
    this.book.remove(request);
    this.#reindex(request.key);
  }

  #reindex(key: AdapterKey): void {
    if (this.#isClosed) return;
    if (this.standing(key) === "absent") this.#unindex(key);
    else this.parts.index.add(key, this.engine);
  }

  #unindex(key: AdapterKey): void {
    this.parts.index.remove(key, this.engine);
  }
}
