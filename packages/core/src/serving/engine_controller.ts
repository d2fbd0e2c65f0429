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
 * Decides which adapters one engine holds and which requests run on it. Only
 * the node that controls the engine has a controller for it.
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
   * Adopts the adapters that the engine reports after a restart or takeover.
   * @param now The present time.
   * @param found The state that the engine reported.
   */
  takeIn(now: Instant, found: FoundResidences): void {
    this.residency.takeIn(now, found);
    for (const residence of this.residency.all) this.#reindex(residence.key);
  }

  /** Whether the engine has adapters that others may still use or load. */
  get hasUnproven(): boolean {
    return this.residency.hasUnproven();
  }

  /**
   * Compares adopted adapters with a later state of the engine.
   * @param now The present time.
   * @param state The engine's adapters, and those used by others' requests.
   */
  found(now: Instant, state: FoundState): void {
    const { gone, loaded } = this.residency.compare(now, state);
    for (const key of loaded) this.book.unblock(now, key);
    for (const key of gone) this.book.block(now, key);
    for (const key of [...loaded, ...gone]) this.#reindex(key);
  }

  /**
   * Handles the absence of an adapter that the engine should have.
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
   * Removes a waiting request.
   * @param request The request's id.
   * @returns Whether the request waited here, and therefore will not run.
   */
  withdraw(request: RequestId): boolean {
    const found = this.book.find(request);
    if (found === undefined || found.isAtEngine) return false;
    this.#forget(found);
    return true;
  }

  /**
   * Removes all waiting requests, to be passed to another controller.
   * @param now The present time.
   * @returns The requests, with the time that they waited here added.
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

  /** Lists the ids of all requests at this engine. */
  requests(): readonly RequestId[] {
    return [...this.book.all].map((request) => request.queued.request);
  }

  /** Removes all entries of this controller from the residence index. */
  close(): void {
    this.#isClosed = true;
    for (const { key } of this.residency.all) this.#unindex(key);
    for (const { key } of this.book.blocked.lines) this.#unindex(key);
  }

  /**
   * Handles the end of a load.
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
   * Handles the end of an eviction.
   * @param now The present time.
   * @param eviction The adapter, and whether it was evicted.
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
   * Handles the first token of a request.
   * @param now The present time.
   * @param request The request's id.
   */
  firstToken(now: Instant, request: RequestId): void {
    const found = this.book.find(request);
    if (found === undefined || found.firstTokenAt !== undefined) return;
    found.firstTokenAt = now;
    this.pace.firstTokenCame(now, found);
  }

  /**
   * Handles the end of a dispatched request with any outcome.
   * @param now The present time.
   * @param request The request's id.
   * @param generatedTokens The number of tokens generated at this engine.
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
   * Handles the engine's report of its load, which lags behind.
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
   * Changes the target of a class, including its queued requests.
   * @param id The class.
   * @param target The new target.
   */
  retarget(id: ClassId, target: Duration): void {
    this.book.retarget(id, target);
  }

  /**
   * Lists the most urgent adapter loads for the engine.
   * @param now The present time.
   * @param prefetch Candidates for loading before a request needs them.
   * @returns A limited number of load wishes.
   */
  wishes(
    now: Instant,
    prefetch: readonly PrefetchCandidate[],
  ): readonly LoadWish[] {
    return this.planner.wishes(now, prefetch);
  }

  /**
   * Uses a permit to load an adapter.
   * @param now The present time.
   * @param adapter The adapter.
   * @returns Whether the permit is used; otherwise it must be returned.
   */
  usePermit(now: Instant, adapter: AdapterReference): boolean {
    const key = adapterKey(adapter);
    const used = this.planner.usePermit(now, adapter, key);
    if (used) this.parts.index.add(key, this.engine);
    return used;
  }

  /**
   * Makes the decisions that are due.
   * @param now The present time.
   * @returns The decisions to carry out, in order.
   */
  decide(now: Instant): readonly EngineDecision[] {
    const decisions = [...this.planner.takeOrders()];
    this.#refuseHopeless(now, decisions);
    this.#dispatcher.dispatch(now, decisions);
    return decisions;
  }

  /** When a waiting request may next have to be refused as overdue. */
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
