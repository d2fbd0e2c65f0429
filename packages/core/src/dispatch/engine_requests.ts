import {
  type AdapterKey,
  assertInvariant,
  type ClassId,
  type Duration,
  type Instant,
  type RequestId,
} from "../shared/mod.ts";
import type { QueuedRequest } from "../serving/engine_event.ts";
import { type AdapterQueue, AdapterQueues } from "./adapter_queues.ts";
import { ClassCounts, type TargetCount } from "./class_counts.ts";
import { ReadyQueue } from "./ready_queue.ts";
import { EngineRequest } from "./engine_request.ts";

/**
 * All requests at one engine. Each is in one state: blocked until its adapter
 * is resident, ready for a place in the batch, or running.
 */
export class EngineRequests {
  readonly #requests = new Map<RequestId, EngineRequest>();
  readonly #blocked = new AdapterQueues();
  readonly #blockedCounts = new ClassCounts();
  readonly #readyByAdapter = new AdapterQueues();
  readonly #ready = new ReadyQueue();
  readonly #running = new Set<EngineRequest>();
  readonly #runningCounts = new ClassCounts();
  #preemptedCount = 0;

  /** The requests that wait for an adapter. */
  get blocked(): AdapterQueues {
    return this.#blocked;
  }

  /** The requests that only wait for a place in the batch. */
  get ready(): ReadyQueue {
    return this.#ready;
  }

  /** The requests that have a place in the batch. */
  get running(): ReadonlySet<EngineRequest> {
    return this.#running;
  }

  /** The targets with their numbers of blocked requests. */
  get blockedByTarget(): readonly TargetCount[] {
    return this.#blockedCounts.byTarget;
  }

  /** The targets with their numbers of running requests. */
  get runningByTarget(): readonly TargetCount[] {
    return this.#runningCounts.byTarget;
  }

  /** The number of requests at the engine, including preempted ones. */
  get heldByEngine(): number {
    return this.#running.size + this.#preemptedCount;
  }

  /** The number of blocked and ready requests. */
  get waiting(): number {
    return this.#blocked.size + this.#ready.size;
  }

  /**
   * Finds a request.
   * @param request The request's id.
   * @returns The request, or nothing if it is not here.
   */
  find(request: RequestId): EngineRequest | undefined {
    return this.#requests.get(request);
  }

  /**
   * Finds the ready requests for an adapter.
   * @param key The key of the adapter.
   * @returns The requests, or nothing if there are none.
   */
  findReady(key: AdapterKey): AdapterQueue | undefined {
    return this.#readyByAdapter.find(key);
  }

  /**
   * Counts the blocked requests that are at least as urgent as one with a
   * target.
   * @param target The target.
   * @returns The number of requests with the same or a shorter target.
   */
  countBlockedAhead(target: Duration): number {
    return this.#blockedCounts.countWithTargetAtMost(target);
  }

  /**
   * Counts the running requests whose target is at least a given one.
   * @param target The target.
   * @returns The number of requests.
   */
  countRunningAtLeast(target: number): number {
    return this.#runningCounts.countWithTargetAtLeast(target);
  }

  /**
   * Adds a request.
   * @param now The present time.
   * @param queued The request.
   * @param isResident Whether its adapter can run now.
   * @returns The added request with its state.
   */
  submit(
    now: Instant,
    queued: QueuedRequest,
    isResident: boolean,
  ): EngineRequest {
    assertInvariant(
      !this.#requests.has(queued.request),
      "request_queued_once",
      () => `${queued.request} is already queued.`,
    );
    const request = new EngineRequest(now, queued);
    this.#requests.set(queued.request, request);
    if (isResident) this.#makeReady(now, request);
    else this.#makeBlocked(request);
    return request;
  }

  /**
   * Makes the blocked requests for an adapter ready.
   * @param now The present time.
   * @param key The key of the adapter, which is now resident.
   */
  unblock(now: Instant, key: AdapterKey): void {
    for (const request of this.#blocked.release(key)) {
      this.#blockedCounts.remove(request);
      this.#makeReady(now, request);
    }
  }

  /**
   * Blocks the ready requests for an adapter.
   * @param now The present time.
   * @param key The key of the adapter, which is being evicted or is missing.
   */
  block(now: Instant, key: AdapterKey): void {
    for (const request of this.#readyByAdapter.release(key)) {
      this.#ready.noteRemoved(request);
      request.block(now);
      this.#makeBlocked(request);
    }
  }

  /**
   * Gives a ready request a place in the batch.
   * @param now The present time.
   * @param request The request that the ready queue returned.
   */
  start(now: Instant, request: EngineRequest): void {
    this.#ready.take(now, request);
    this.#readyByAdapter.remove(request);
    if (request.isPreempted) this.#preemptedCount -= 1;
    request.isPreempted = false;
    request.state = "running";
    request.dispatchedAt = now;
    this.#running.add(request);
    this.#runningCounts.add(request);
  }

  /**
   * Takes the place of a running request, which stays at the engine.
   * @param request The request.
   */
  preempt(request: EngineRequest): void {
    this.#running.delete(request);
    this.#runningCounts.remove(request);
    request.isPreempted = true;
    this.#preemptedCount += 1;
    request.state = "ready";
    this.#readyByAdapter.add(request);
    this.#ready.add(request);
  }

  /**
   * Removes a request in any state.
   * @param request The request.
   */
  remove(request: EngineRequest): void {
    this.#requests.delete(request.queued.request);
    switch (request.state) {
      case "blocked":
        this.#blocked.remove(request);
        this.#blockedCounts.remove(request);
        break;
      case "ready":
        if (request.isPreempted) this.#preemptedCount -= 1;
        this.#readyByAdapter.remove(request);
        this.#ready.noteRemoved(request);
        break;
      case "running":
        this.#running.delete(request);
        this.#runningCounts.remove(request);
        break;
      case "over":
        break;
    }
    request.state = "over";
  }

  /**
   * Changes the target of all requests of a class.
   * @param id The class.
   * @param target The new target.
   */
  retarget(id: ClassId, target: Duration): void {
    for (const request of this.#requests.values()) {
      if (request.queued.class !== id) continue;
      request.retarget(target);
      if (request.state === "ready") this.#ready.requeue(request);
    }
    this.#blockedCounts.retarget(id, target);
    this.#runningCounts.retarget(id, target);
  }

  /** All requests, in the order of arrival at this engine. */
  get all(): Iterable<EngineRequest> {
    return this.#requests.values();
  }

  #makeReady(now: Instant, request: EngineRequest): void {
    request.unblock(now);
    this.#readyByAdapter.add(request);
    this.#ready.add(request);
  }

  #makeBlocked(request: EngineRequest): void {
    this.#blocked.add(request);
    this.#blockedCounts.add(request);
  }
}
