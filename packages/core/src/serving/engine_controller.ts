import type { EngineRequest } from "../dispatch/mod.ts";
import type { LoadWish } from "../loads/mod.ts";
import type { ObservedState, ReportedAdapters } from "../residency/mod.ts";
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
import { OverdueRequests } from "./overdue_requests.ts";
import type { PrefetchCandidate } from "./load_planner.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";

/**
 * Decides which adapters one engine holds and which requests run on it. Only
 * the node that controls the engine has a controller for it.
 */
export class EngineController extends EngineControllerView {
  readonly #overdueRequests = new OverdueRequests(this.engineRequests);
  readonly #dispatcher = new RequestDispatcher({
    engineRequests: this.engineRequests,
    residency: this.residency,
    dispatchHistory: this.dispatchHistory,
    places: () => this.places(),
  });
  #isClosed = false;

  /**
   * Adopts the adapters that the engine reports after a restart or takeover.
   * @param now The present time.
   * @param engineState The state that the engine reported.
   */
  adoptState(now: Instant, engineState: ReportedAdapters): void {
    this.residency.adopt(now, engineState);
    for (const residence of this.residency.all) {
      this.#updateIndex(residence.key);
    }
  }

  /** Whether the engine has adapters that others may still use or load. */
  get hasUnverifiedAdapters(): boolean {
    return this.residency.hasUnproven();
  }

  /**
   * Compares adopted adapters with a later state of the engine.
   * @param now The present time.
   * @param state The engine's adapters, and those used by others' requests.
   */
  reconcile(now: Instant, state: ObservedState): void {
    const { gone, loaded } = this.residency.reconcile(now, state);
    for (const key of loaded) this.engineRequests.unblock(now, key);
    for (const key of gone) this.engineRequests.block(now, key);
    for (const key of [...loaded, ...gone]) this.#updateIndex(key);
  }

  /**
   * Handles the absence of an adapter that the engine should have.
   * @param now The present time.
   * @param adapter The adapter.
   */
  adapterMissing(now: Instant, adapter: AdapterReference): void {
    const key = adapterKey(adapter);
    if (!this.residency.forget(key)) return;
    this.engineRequests.block(now, key);
    this.#updateIndex(key);
  }

  /**
   * Queues a request.
   * @param now The present time.
   * @param queued The request.
   */
  submit(now: Instant, queued: QueuedRequest): void {
    const key = adapterKey(queued.adapter);
    const isResident = this.residency.isResident(key);
    const request = this.engineRequests.submit(now, queued, isResident);
    this.#overdueRequests.watch(request);
    if (!isResident) this.#updateIndex(key);
  }

  /**
   * Removes a waiting request.
   * @param request The request's id.
   * @returns Whether the request waited here, and therefore will not run.
   */
  withdraw(request: RequestId): boolean {
    const found = this.engineRequests.find(request);
    if (found === undefined || found.isAtEngine) return false;
    this.#remove(found);
    return true;
  }

  /**
   * Removes all waiting requests, to be passed to another controller.
   * @param now The present time.
   * @returns The requests, with the time that they waited here added.
   */
  withdrawWaiting(now: Instant): readonly QueuedRequest[] {
    const waiting = [...this.engineRequests.all].filter((one) =>
      !one.isAtEngine
    );
    for (const request of waiting) this.#remove(request);
    return waiting.map(({ queued, submittedAt }) => ({
      ...queued,
      waitedBefore: milliseconds(
        queued.waitedBefore + elapsed(submittedAt, now),
      ),
    }));
  }

  /** Lists the ids of all requests at this engine. */
  requestIds(): readonly RequestId[] {
    return [...this.engineRequests.all].map((request) =>
      request.queued.request
    );
  }

  /** Removes all entries of this controller from the residence index. */
  close(): void {
    this.#isClosed = true;
    for (const { key } of this.residency.all) this.#removeFromIndex(key);
    for (const { key } of this.engineRequests.blocked.queues) {
      this.#removeFromIndex(key);
    }
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
    if (loaded) this.engineRequests.unblock(now, key);
    this.#updateIndex(key);
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
    if (!evicted) this.engineRequests.unblock(now, key);
    const next = this.planner.evictionEnded(now, key, evicted);
    this.#updateIndex(key);
    if (next !== undefined) this.#updateIndex(next);
  }

  /**
   * Handles the first token of a request.
   * @param now The present time.
   * @param request The request's id.
   */
  firstToken(now: Instant, request: RequestId): void {
    const found = this.engineRequests.find(request);
    if (found === undefined || found.firstTokenAt !== undefined) return;
    found.firstTokenAt = now;
    this.timings.recordFirstToken(now, found);
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
    const found = this.engineRequests.find(request);
    if (found === undefined || !found.isAtEngine) return;
    this.timings.recordEnd(now, found, generatedTokens);
    this.residency.unpin(now, found.key);
    this.engineRequests.remove(found);
    this.dispatchHistory.record(now, this.engineRequests.heldByEngine);
  }

  /**
   * Handles the engine's report of its load, which lags behind.
   * @param now The present time.
   * @param report The report.
   */
  reported(now: Instant, report: EngineReport): void {
    this.timings.recordStepTime(report.stepTime);
    this.foreignRequests = this.dispatchHistory.countForeign(now, {
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
    this.engineRequests.retarget(id, target);
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
    const isUsed = this.planner.usePermit(now, adapter, key);
    if (isUsed) this.parts.index.add(key, this.engine);
    return isUsed;
  }

  /**
   * Makes the decisions that are due.
   * @param now The present time.
   * @returns The decisions to carry out, in order.
   */
  decide(now: Instant): readonly EngineDecision[] {
    const decisions = [...this.planner.takeOrders()];
    this.#refuseOverdue(now, decisions);
    this.#dispatcher.dispatch(now, decisions);
    return decisions;
  }

  /** When a waiting request may next have to be refused as overdue. */
  get nextGiveUpAt(): Instant | undefined {
    return this.#overdueRequests.nextDueAt;
  }

  #refuseOverdue(now: Instant, decisions: EngineDecision[]): void {
    this.#overdueRequests.refuseDue(now, (request) => {
      this.#remove(request);
      decisions.push({
        kind: "refuse",
        request: request.queued.request,
        retryAfter: request.target,
      });
    });
  }

  #remove(request: EngineRequest): void {
    this.engineRequests.remove(request);
    this.#updateIndex(request.key);
  }

  #updateIndex(key: AdapterKey): void {
    if (this.#isClosed) return;
    if (this.standing(key) === "absent") this.#removeFromIndex(key);
    else this.parts.index.add(key, this.engine);
  }

  #removeFromIndex(key: AdapterKey): void {
    this.parts.index.remove(key, this.engine);
  }
}
