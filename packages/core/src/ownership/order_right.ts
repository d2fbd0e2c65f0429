import { type NodeRun, sameRun } from "../membership/mod.ts";
import {
  assertInvariant,
  elapsed,
  type EngineId,
  type Failure,
  type FencingNumber,
  type Instant,
  later,
} from "../shared/mod.ts";
import { err, ok, type Result } from "neverthrow";
import type { ClaimLedger } from "./claim_ledger.ts";
import type { PromiseBook } from "./promise_book.ts";
import type { Exchange, OwnershipRules } from "./rules.ts";
import type { Tenure } from "./tenure.ts";
import type { TenureRegister } from "./tenure_register.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What the right to order is decided from. */
export interface RightHolderParts {
  readonly self: NodeRun;
  readonly rules: OwnershipRules;
  readonly timing: OwnershipTiming;
  readonly tenures: TenureRegister;
  readonly promises: PromiseBook;
  readonly ledger: ClaimLedger;
}

interface Duty {
  readonly activeFrom: Instant;
  stoppedAt: Instant | undefined;
}

/** Decides whether this run may give destructive orders. */
export class RightHolder {
  readonly #parts: RightHolderParts;
  readonly #duties = new Map<EngineId, Duty>();
  #leaseStart: Instant | undefined;

  constructor(parts: RightHolderParts) {
    this.#parts = parts;
  }

  /** The engines that this run controls, or is about to. */
  get engines(): readonly EngineId[] {
    return [...this.#duties.keys()];
  }

  /**
   * Notes a read that reached the log's tail.
   * @param read When it began and ended.
   */
  confirmTail(read: Exchange): void {
    const start = this.#parts.rules.leaseStart(read);
    const isLater = this.#leaseStart === undefined || start > this.#leaseStart;
    if (isLater) this.#leaseStart = start;
  }

  /**
   * Follows a new tenure.
   * @param now The present time: not before the record was in the log.
   * @param options The tenure and the engine's kind.
   */
  follow(
    now: Instant,
    options: { readonly tenure: Tenure; readonly checksFencing: boolean },
  ): void {
    const { tenure, checksFencing } = options;
    const { engine } = tenure;
    if (!sameRun(tenure.controller, this.#parts.self)) {
      this.#duties.delete(engine);
      this.#parts.promises.forget(engine);
      return;
    }
    const known = this.#duties.get(engine);
    if (tenure.reason === "keep" && known !== undefined) {
      known.stoppedAt = undefined;
      return;
    }
    const { rules, timing } = this.#parts;
    const wait = rules.takeoverWait(tenure.wait, { timing, checksFencing });
    const activeFrom = later(now, wait);
    this.#duties.set(engine, { activeFrom, stoppedAt: undefined });
  }

  /**
   * Tells whether the log's tail was confirmed within the lease.
   * @param now The present time.
   * @returns Whether it was.
   */
  isLogFresh(now: Instant): boolean {
    if (this.#leaseStart === undefined) return false;
    return now <
      this.#parts.rules.leaseEnd(this.#leaseStart, this.#parts.timing);
  }

  /**
   * Tells whether the waits after a takeover are over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run's tenure is in force.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    const duty = this.#duties.get(engine);
    return duty !== undefined && now >= duty.activeFrom;
  }

  /**
   * Stops ordering an engine for good, ahead of its hand-over.
   * @param engine The engine.
   * @param now The present time.
   * @returns How long ago this run stopped, in milliseconds.
   */
  stopOrders(engine: EngineId, now: Instant): number {
    const duty = this.#duties.get(engine);
    if (duty === undefined) return 0;
    duty.stoppedAt ??= now;
    return elapsed(duty.stoppedAt, now);
  }

  /**
   * Lets an engine be ordered again, where no hand-over can take effect.
   * @param engine The engine.
   */
  resumeOrders(engine: EngineId): void {
    const duty = this.#duties.get(engine);
    if (duty !== undefined) duty.stoppedAt = undefined;
  }

  /**
   * Decides whether a destructive order may be given now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why none may be given.
   */
  current(engine: EngineId, now: Instant): Result<FencingNumber, Failure> {
    const tenure = this.#parts.tenures.tenureOf(engine);
    const duty = this.#duties.get(engine);
    if (tenure === undefined || duty === undefined) {
      return err(refusal(engine, "Another node controls the engine."));
    }
    if (now < duty.activeFrom) {
      return err(refusal(engine, "The controller before may still order."));
    }
    const { rules } = this.#parts;
    if (duty.stoppedAt !== undefined && !rules.ordersWhileReleasing()) {
      return err(refusal(engine, "The engine is being handed over."));
    }
    if (!this.#isProtected(tenure, now)) {
      return err(refusal(engine, "Lease and promises have lapsed."));
    }
    assertInvariant(
      sameRun(tenure.controller, this.#parts.self),
      "orders_only_by_the_controller",
      () => `engine ${engine} belongs to ${tenure.controller.node}`,
    );
    return ok(tenure.fencing);
  }

  #isProtected(tenure: Tenure, now: Instant): boolean {
    const { rules, timing, promises, ledger } = this.#parts;
    if (!rules.checksLease() || this.isLogFresh(now)) return true;
    if (this.#leaseStart === undefined) return false;
    if (now >= rules.horizonEnd(this.#leaseStart, timing)) return false;
    if (tenure.successors.length === 0) return false;
    const promisers = rules.requiredPromisers(
      tenure.successors,
      ledger.proposedSuccessors(tenure.engine),
    );
    return promises.holds(tenure.engine, { promisers, now });
  }
}

function refusal(engine: EngineId, message: string): Failure {
  return {
    reason: "fenced",
    step: "take_over",
    peer: engine,
    message,
    outcome: "not_run",
  };
}
