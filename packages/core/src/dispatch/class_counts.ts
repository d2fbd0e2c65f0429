import type { ClassId, Duration } from "../shared/mod.ts";
import type { EngineRequest } from "./engine_request.ts";

/**
 * A request is only preempted by one whose target is shorter by at least this
 * factor.
 */
export const PREEMPTION_TARGET_RATIO = 4;

/** The number of requests with a target. */
export interface TargetCount {
  readonly target: Duration;
  readonly count: number;
}

interface ClassCount {
  target: Duration;
  count: number;
}

/** Counts requests by class, to compare targets without visiting each one. */
export class ClassCounts {
  readonly #classes = new Map<ClassId, ClassCount>();

  /** The targets with their numbers of requests. */
  get byTarget(): readonly TargetCount[] {
    return [...this.#classes.values()].map((entry) => ({ ...entry }));
  }

  /**
   * Adds a request to its class's count.
   * @param request The request.
   */
  add(request: EngineRequest): void {
    const id = request.queued.class;
    const entry = this.#classes.get(id);
    if (entry === undefined) {
      this.#classes.set(id, { target: request.target, count: 1 });
      return;
    }
    entry.target = request.target;
    entry.count += 1;
  }

  /**
   * Removes a request from its class's count.
   * @param request The request.
   */
  remove(request: EngineRequest): void {
    const entry = this.#classes.get(request.queued.class);
    if (entry === undefined) return;
    entry.count -= 1;
    if (entry.count === 0) this.#classes.delete(request.queued.class);
  }

  /**
   * Counts the requests of classes whose target is at most a given one.
   * @param target The target.
   * @returns The number of requests.
   */
  countWithTargetAtMost(target: Duration): number {
    let total = 0;
    for (const entry of this.#classes.values()) {
      if (entry.target <= target) total += entry.count;
    }
    return total;
  }

  /**
   * Counts the requests of classes whose target is at least a given one.
   * @param target The target.
   * @returns The number of requests.
   */
  countWithTargetAtLeast(target: number): number {
    let total = 0;
    for (const entry of this.#classes.values()) {
      if (entry.target >= target) total += entry.count;
    }
    return total;
  }

  /**
   * Changes the target of a class.
   * @param id The class.
   * @param target The new target.
   */
  retarget(id: ClassId, target: Duration): void {
    const entry = this.#classes.get(id);
    if (entry !== undefined) entry.target = target;
  }
}
