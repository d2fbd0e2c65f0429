import type { ClassId, Duration, Instant } from "../shared/mod.ts";
import { ClassCounts, type TargetCount } from "./class_counts.ts";
import { ClassQueue } from "./class_queue.ts";
import type { EngineRequest } from "./engine_request.ts";

/**
 * The requests that only wait for a place in the batch, ordered by least slack.
 */
export class ReadyQueue {
  readonly #classes = new Map<ClassId, ClassQueue<EngineRequest>>();
  readonly #counts = new ClassCounts();
  #size = 0;

  /** The number of ready requests. */
  get size(): number {
    return this.#size;
  }

  /** The targets with their numbers of ready requests. */
  get byTarget(): readonly TargetCount[] {
    return this.#counts.byTarget;
  }

  /**
   * Adds a request in the state "ready".
   * @param request The request.
   */
  add(request: EngineRequest): void {
    this.#size += 1;
    this.#counts.add(request);
    this.#classQueue(request.queued.class).add(request);
  }

  /**
   * Updates the counts after a request stopped being ready for any reason.
   * @param request The request.
   */
  noteRemoved(request: EngineRequest): void {
    this.#size -= 1;
    this.#counts.remove(request);
  }

  /**
   * Counts the requests that are at least as urgent as one with a target.
   * @param target The target.
   * @returns The number of requests with the same or a shorter target.
   */
  countAhead(target: Duration): number {
    return this.#counts.countWithTargetAtMost(target);
  }

  /**
   * Adds a request again after its deadline changed.
   * @param request The request.
   */
  requeue(request: EngineRequest): void {
    this.#counts.retarget(request.queued.class, request.target);
    this.#classQueue(request.queued.class).add(request);
  }

  /**
   * Finds the request with the least slack.
   * @param now The present time.
   * @returns The request, or nothing if none is ready.
   */
  peek(now: Instant): EngineRequest | undefined {
    let best: EngineRequest | undefined;
    for (const queue of this.#classes.values()) {
      const head = queue.peek(now);
      if (head === undefined) continue;
      if (best === undefined || head.deadline < best.deadline) best = head;
    }
    return best;
  }

  /**
   * Removes a request that {@link peek} returned.
   * @param now The present time.
   * @param request The request.
   */
  take(now: Instant, request: EngineRequest): void {
    this.#classes.get(request.queued.class)?.shift(now);
    this.noteRemoved(request);
  }

  #classQueue(id: ClassId): ClassQueue<EngineRequest> {
    const existing = this.#classes.get(id);
    if (existing !== undefined) return existing;
    const created = new ClassQueue<EngineRequest>();
    this.#classes.set(id, created);
    return created;
  }
}
