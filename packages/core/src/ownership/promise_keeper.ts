import {
  assertInvariant,
  type EngineId,
  type Instant,
  later,
} from "../shared/mod.ts";
import type { OwnershipRules } from "./rules.ts";
import type { OwnershipTiming } from "./timing.ts";

/** The promises that this run has given, and keeps. */
export class PromiseKeeper {
  readonly #rules: OwnershipRules;
  readonly #timing: OwnershipTiming;
  readonly #freeFrom: Instant;
  readonly #promisedUntil = new Map<EngineId, Instant>();

  constructor(
    rules: OwnershipRules,
    options: {
      readonly timing: OwnershipTiming;
      readonly startedAt: Instant;
    },
  ) {
    this.#rules = rules;
    this.#timing = options.timing;
    const wait = rules.restartWait(options.timing);
    this.#freeFrom = later(options.startedAt, wait);
  }

  /**
   * Promises not to claim an engine for the usual time.
   * @param engine The engine.
   * @param now The present time.
   */
  promise(engine: EngineId, now: Instant): void {
    const until = later(now, this.#rules.promiseKept(this.#timing));
    const known = this.#promisedUntil.get(engine);
    if (known === undefined || known < until) {
      this.#promisedUntil.set(engine, until);
    }
  }

  /**
   * Tells whether no promise, also of a run before, forbids a claim.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run may claim the engine.
   */
  isFree(engine: EngineId, now: Instant): boolean {
    if (now < this.#freeFrom) return false;
    const until = this.#promisedUntil.get(engine);
    return until === undefined || now >= until;
  }

  /**
   * Asserts that a claim breaks no promise.
   * @param engine The engine that is claimed.
   * @param now The present time.
   */
  assertFree(engine: EngineId, now: Instant): void {
    assertInvariant(
      this.isFree(engine, now),
      "claims_break_no_promise",
      () => `engine ${engine} is claimed at ${now}`,
    );
  }
}
