import type { ClassId, Duration, Instant } from "../shared/mod.ts";
import { ClassCounts, type TargetLoad } from "./class_counts.ts";
import { ClassQueue } from "./class_queue.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** The requests that could run now, were there a place: least slack first. */
export class ReadyQueue {
  readonly #classes = new Map<ClassId, ClassQueue>();
  readonly #counts = new ClassCounts();
  #size = 0;

  /** How many requests are ready. */
  get size(): number {
    return this.#size;
  }

  /** The targets, and how many ready requests have each. */
  get loads(): readonly TargetLoad[] {
    return this.#counts.loads;
  }

  /**
   * Adds a request whose place is "ready".
   * @param request The request.
   */
  add(request: WaitingRequest): void {
    this.#size += 1;
    this.#counts.add(request);
    this.#classQueue(request.queued.class).add(request);
  }

  /**
   * Takes note that a request is not ready any more, wherever it went.
   * @param request The request.
   */
  left(request: WaitingRequest): void {
    this.#size -= 1;
    this.#counts.remove(request);
  }

  /**
   * Counts the requests that are about as urgent as one with a target.
   * @param target The target.
   * @returns How many have the same target or a shorter one.
   */
  countAhead(target: Duration): number {
    return this.#counts.atMost(target);
  }

  /**
   * Adds a request again whose deadline has changed.
   * @param request The request.
   */
  refresh(request: WaitingRequest): void {
    this.#counts.retarget(request.queued.class, request.target);
    this.#classQueue(request.queued.class).add(request);
  }

  /**
   * Finds the request with the least slack.
   * @param now The present time.
   * @returns The request, or nothing.
   */
  peek(now: Instant): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    for (const queue of this.#classes.values()) {
      const head = queue.peek(now);
      if (head === undefined) continue;
      if (best === undefined || head.deadline < best.deadline) best = head;
    }
    return best;
  }

  /**
   * Takes out a request that {@link peek} found.
   * @param now The present time.
   * @param request The request.
   */
  take(now: Instant, request: WaitingRequest): void {
    this.#classes.get(request.queued.class)?.shift(now);
    this.left(request);
  }

  #classQueue(id: ClassId): ClassQueue {
    const known = this.#classes.get(id);
    if (known !== undefined) return known;
    const made = new ClassQueue();
    this.#classes.set(id, made);
    return made;
  }
}
