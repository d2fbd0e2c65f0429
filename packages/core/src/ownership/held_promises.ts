import {
  elapsed,
  type EngineId,
  type Instant,
  type NodeId,
} from "../shared/mod.ts";
import type { PromiseResponse } from "./promise_message.ts";
import type { OwnershipRules } from "./rules.ts";
import type { OwnershipTiming } from "./timing.ts";

/** Tracks the promises that successors granted to this controller. */
export class HeldPromises {
  readonly #rules: OwnershipRules;
  readonly #timing: OwnershipTiming;
  readonly #requestedAt = new Map<number, Instant>();
  readonly #promiseStarts = new Map<EngineId, Map<NodeId, Instant>>();
  #requestCount = 0;

  constructor(rules: OwnershipRules, timing: OwnershipTiming) {
    this.#rules = rules;
    this.#timing = timing;
  }

  /**
   * Records a request that is sent now.
   * @param now The present time.
   * @returns The request's number.
   */
  recordRequest(now: Instant): number {
    this.#requestCount += 1;
    this.#requestedAt.set(this.#requestCount, now);
    for (const [number, requestedAt] of this.#requestedAt) {
      const isOld = elapsed(requestedAt, now) > this.#timing.promise;
      if (isOld) this.#requestedAt.delete(number);
    }
    return this.#requestCount;
  }

  /**
   * Records a response. Promises are valid from the time of the request.
   * @param now The present time.
   * @param response The response.
   */
  recordResponse(now: Instant, response: PromiseResponse): void {
    const startedAt = this.#requestedAt.get(response.number);
    if (startedAt === undefined) return;
    const start = this.#rules.promiseStart({ startedAt, endedAt: now });
    for (const engine of response.engines) {
      const starts = this.#promiseStarts.get(engine) ??
        new Map<NodeId, Instant>();
      this.#promiseStarts.set(engine, starts);
      const known = starts.get(response.from.node);
      if (known === undefined || known < start) {
        starts.set(response.from.node, start);
      }
    }
  }

  /**
   * Checks whether every given node has granted a promise that is still valid.
   * @param engine The engine.
   * @param options The nodes and the present time.
   * @returns Whether all promises are valid; false for an empty list of nodes.
   */
  allHold(
    engine: EngineId,
    options: { readonly promisers: readonly NodeId[]; readonly now: Instant },
  ): boolean {
    const starts = this.#promiseStarts.get(engine);
    if (starts === undefined || options.promisers.length === 0) return false;
    return options.promisers.every((node) => {
      const start = starts.get(node);
      if (start === undefined) return false;
      return options.now < this.#rules.promiseEnd(start, this.#timing);
    });
  }

  /**
   * Removes the promises for an engine that this run no longer controls.
   * @param engine The engine.
   */
  forget(engine: EngineId): void {
    this.#promiseStarts.delete(engine);
  }
}
