import {
  type AdapterKey,
  assertInvariant,
  type ClassId,
  type Duration,
  type Instant,
  type RequestId,
} from "../shared/mod.ts";
import type { QueuedRequest } from "../serving/engine_event.ts";
import { type AdapterLine, AdapterLines } from "./adapter_lines.ts";
import { ClassCounts, type TargetLoad } from "./class_counts.ts";
import { ReadyQueue } from "./ready_queue.ts";
import { WaitingRequest } from "./waiting_request.ts";

/**
 * All requests at one engine. Each is in one state: blocked until its adapter
 * is resident, ready for a place in the batch, or running.
 */
export class RequestBook {
  readonly #requests = new Map<RequestId, WaitingRequest>();
  readonly #blocked = new AdapterLines();
  readonly #blockedCounts = new ClassCounts();
  readonly #readyLines = new AdapterLines();
  readonly #ready = new ReadyQueue();
  readonly #running = new Set<WaitingRequest>();
  readonly #runningCounts = new ClassCounts();
  #displaced = 0;

  /** The requests that wait for an adapter. */
  get blocked(): AdapterLines {
    return this.#blocked;
  }

  /** The requests that only wait for a place in the batch. */
  get ready(): ReadyQueue {
    return this.#ready;
  }

  /** The requests that have a place in the batch. */
  get running(): ReadonlySet<WaitingRequest> {
    return this.#running;
  }

  /** The targets with their numbers of blocked requests. */
  get blockedLoads(): readonly TargetLoad[] {
    return this.#blockedCounts.loads;
  }

  /** The targets with their numbers of running requests. */
  get runningLoads(): readonly TargetLoad[] {
    return this.#runningCounts.loads;
  }

  /** The number of requests at the engine, including preempted ones. */
  get atEngine(): number {
    return this.#running.size + this.#displaced;
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
  find(request: RequestId): WaitingRequest | undefined {
    return this.#requests.get(request);
  }

  /**
   * Finds the ready requests for an adapter.
   * @param key The key of the adapter.
   * @returns The requests, or nothing if there are none.
   */
  readyLine(key: AdapterKey): AdapterLine | undefined {
    return this.#readyLines.find(key);
  }

  /**
   * Counts the blocked requests that are at least as urgent as one with a
   * target.
   * @param target The target.
   * @returns The number of requests with the same or a shorter target.
   */
  blockedAhead(target: Duration): number {
    return this.#blockedCounts.atMost(target);
  }

  /**
   * Counts the running requests whose target is at least a given one.
   * @param target The target.
   * @returns The number of requests.
   */
  runningAtLeast(target: number): number {
    return this.#runningCounts.atLeast(target);
  }

  /**
   * Adds a request.
   * @param now The present time.
   * @param queued The request.
   * @param resident Whether its adapter can run now.
   * @returns The added request with its state.
   */
  submit(
    now: Instant,
    queued: QueuedRequest,
    resident: boolean,
  ): WaitingRequest {
    assertInvariant(
      !this.#requests.has(queued.request),
      "request_queued_once",
      () => `${queued.request} is already queued.`,
    );
    const request = new WaitingRequest(now, queued);
    this.#requests.set(queued.request, request);
    if (resident) this.#makeReady(now, request);
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
    for (const request of this.#readyLines.release(key)) {
      this.#ready.left(request);
      request.block(now);
      this.#makeBlocked(request);
    }
  }

  /**
   * Gives a ready request a place in the batch.
   * @param now The present time.
   * @param request The request that the ready queue returned.
   */
  start(now: Instant, request: WaitingRequest): void {
    this.#ready.take(now, request);
    this.#readyLines.remove(request);
    if (request.displaced) this.#displaced -= 1;
    request.displaced = false;
    request.place = "running";
    request.dispatchedAt = now;
    this.#running.add(request);
    this.#runningCounts.add(request);
  }

  /**
   * Takes the place of a running request, which stays at the engine.
   * @param request The request.
   */
  displace(request: WaitingRequest): void {
    this.#running.delete(request);
    this.#runningCounts.remove(request);
    request.displaced = true;
    this.#displaced += 1;
    request.place = "ready";
    this.#readyLines.add(request);
    this.#ready.add(request);
  }

  /**
   * Removes a request in any state.
   * @param request The request.
   */
  remove(request: WaitingRequest): void {
    this.#requests.delete(request.queued.request);
    switch (request.place) {
      case "blocked":
        this.#blocked.remove(request);
        this.#blockedCounts.remove(request);
        break;
      case "ready":
        if (request.displaced) this.#displaced -= 1;
        this.#readyLines.remove(request);
        this.#ready.left(request);
        break;
      case "running":
        this.#running.delete(request);
        this.#runningCounts.remove(request);
        break;
      case "over":
        break;
    }
    request.place = "over";
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
      if (request.place === "ready") this.#ready.refresh(request);
    }
    this.#blockedCounts.retarget(id, target);
    this.#runningCounts.retarget(id, target);
  }

  /** All requests, in the order of arrival at this engine. */
  get all(): Iterable<WaitingRequest> {
    return this.#requests.values();
  }

  #makeReady(now: Instant, request: WaitingRequest): void {
    request.unblock(now);
    this.#readyLines.add(request);
    this.#ready.add(request);
  }

  #makeBlocked(request: WaitingRequest): void {
    this.#blocked.add(request);
    this.#blockedCounts.add(request);
  }
}
