import {
  assertInvariant,
  type EngineId,
  type Instant,
  later,
} from "../shared/mod.ts";
import type { OwnershipRules } from "./rules.ts";
import type { OwnershipTiming } from "./timing.ts";

/** Tracks the promises that this run has granted to controllers. */
export class GrantedPromises {
  readonly #rules: OwnershipRules;
  readonly #timing: OwnershipTiming;
  readonly #claimsAllowedFrom: Instant;
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
    this.#claimsAllowedFrom = later(options.startedAt, wait);
  }

  /**
   * Grants a promise not to claim an engine for the configured time.
   * @param engine The engine.
   * @param now The present time.
   */
  grant(engine: EngineId, now: Instant): void {
    const until = later(now, this.#rules.promiseGrantDuration(this.#timing));
    const known = this.#promisedUntil.get(engine);
    if (known === undefined || known < until) {
      this.#promisedUntil.set(engine, until);
    }
  }

  /**
   * Checks that no promise forbids a claim, including those that an earlier
   * run of this node may have granted.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run may claim the engine.
   */
  mayClaim(engine: EngineId, now: Instant): boolean {
    if (now < this.#claimsAllowedFrom) return false;
    const until = this.#promisedUntil.get(engine);
    return until === undefined || now >= until;
  }

  /**
   * Asserts that claiming an engine breaks no promise.
   * @param engine The engine to claim.
   * @param now The present time.
   */
  assertMayClaim(engine: EngineId, now: Instant): void {
    assertInvariant(
      this.mayClaim(engine, now),
      "claims_break_no_promise",
      () => `engine ${engine} is claimed at ${now}`,
    );
  }
}
