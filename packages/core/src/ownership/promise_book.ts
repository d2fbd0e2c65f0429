import {
  elapsed,
  type EngineId,
  type Instant,
  type NodeId,
} from "../shared/mod.ts";
import type { PromiseAnswer } from "./promise_message.ts";
import type { OwnershipRules } from "./rules.ts";
import type { OwnershipTiming } from "./timing.ts";

/** The promises that a controller holds. */
export class PromiseBook {
  readonly #rules: OwnershipRules;
  readonly #timing: OwnershipTiming;
  readonly #askedAt = new Map<number, Instant>();
  readonly #starts = new Map<EngineId, Map<NodeId, Instant>>();
  #asks = 0;

  constructor(rules: OwnershipRules, timing: OwnershipTiming) {
    this.#rules = rules;
    this.#timing = timing;
  }

  /**
   * Notes an ask that is sent now.
   * @param now The present time.
   * @returns The ask's number.
   */
  noteAsk(now: Instant): number {
    this.#asks += 1;
    this.#askedAt.set(this.#asks, now);
    for (const [number, askedAt] of this.#askedAt) {
      const isOld = elapsed(askedAt, now) > this.#timing.promise;
      if (isOld) this.#askedAt.delete(number);
    }
    return this.#asks;
  }

  /**
   * Takes in an answer; promises count from when they were asked for.
   * @param now The present time.
   * @param answer The answer.
   */
  noteAnswer(now: Instant, answer: PromiseAnswer): void {
    const startedAt = this.#askedAt.get(answer.number);
    if (startedAt === undefined) return;
    const start = this.#rules.promiseStart({ startedAt, endedAt: now });
    for (const engine of answer.engines) {
      const starts = this.#starts.get(engine) ?? new Map<NodeId, Instant>();
      this.#starts.set(engine, starts);
      const known = starts.get(answer.from.node);
      if (known === undefined || known < start) {
        starts.set(answer.from.node, start);
      }
    }
  }

  /**
   * Tells whether every given node has promised, and still keeps it.
   * @param engine The engine.
   * @param options The nodes and the present time.
   * @returns Whether all promises hold; never without any node.
   */
  holds(
    engine: EngineId,
    options: { readonly promisers: readonly NodeId[]; readonly now: Instant },
  ): boolean {
    const starts = this.#starts.get(engine);
    if (starts === undefined || options.promisers.length === 0) return false;
    return options.promisers.every((node) => {
      const start = starts.get(node);
      if (start === undefined) return false;
      return options.now < this.#rules.promiseEnd(start, this.#timing);
    });
  }

  /**
   * Forgets the promises for an engine that is not controlled any more.
   * @param engine The engine.
   */
  forget(engine: EngineId): void {
    this.#starts.delete(engine);
  }
}
