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
import type { TenureRecordTracker } from "./tenure_record_tracker.ts";
import type { HeldPromises } from "./held_promises.ts";
import type { OwnershipRules, RoundTrip } from "./rules.ts";
import type { Tenure } from "./tenure.ts";
import type { TenureRegister } from "./tenure_register.ts";
import type { OwnershipTiming } from "./timing.ts";

/** Options of an {@link OrderAuthority}. */
export interface OrderAuthorityOptions {
  readonly self: NodeRun;
  readonly rules: OwnershipRules;
  readonly timing: OwnershipTiming;
  readonly tenures: TenureRegister;
  readonly heldPromises: HeldPromises;
  readonly recordTracker: TenureRecordTracker;
}

interface ControlState {
  readonly activeFrom: Instant;
  stoppedAt: Instant | undefined;
}

/** Decides whether this run may send destructive orders to engines. */
export class OrderAuthority {
  readonly #options: OrderAuthorityOptions;
  readonly #controlStates = new Map<EngineId, ControlState>();
  #leaseStart: Instant | undefined;

  constructor(options: OrderAuthorityOptions) {
    this.#options = options;
  }

  /** The engines that this run controls or is about to control. */
  get controlledEngines(): readonly EngineId[] {
    return [...this.#controlStates.keys()];
  }

  /**
   * Renews the lease after a read that reached the log's tail.
   * @param read The start and end of the read.
   */
  confirmTail(read: RoundTrip): void {
    const start = this.#options.rules.leaseStart(read);
    const isLater = this.#leaseStart === undefined || start > this.#leaseStart;
    if (isLater) this.#leaseStart = start;
  }

  /**
   * Updates the control state for a new tenure.
   * @param now The present time, not earlier than the append of the record.
   * @param options The tenure, and whether the engine checks fencing numbers.
   */
  onTenureChanged(
    now: Instant,
    options: { readonly tenure: Tenure; readonly checksFencing: boolean },
  ): void {
    const { tenure, checksFencing } = options;
    const { engine } = tenure;
    if (!sameRun(tenure.controller, this.#options.self)) {
      this.#controlStates.delete(engine);
      this.#options.heldPromises.forget(engine);
      return;
    }
    const known = this.#controlStates.get(engine);
    if (tenure.reason === "keep" && known !== undefined) {
      known.stoppedAt = undefined;
      return;
    }
    const { rules, timing } = this.#options;
    const wait = rules.takeoverWait(tenure.wait, { timing, checksFencing });
    const activeFrom = later(now, wait);
    this.#controlStates.set(engine, { activeFrom, stoppedAt: undefined });
  }

  /**
   * Checks whether the log's tail was confirmed within the lease.
   * @param now The present time.
   * @returns Whether the lease is valid.
   */
  isLogFresh(now: Instant): boolean {
    if (this.#leaseStart === undefined) return false;
    return now <
      this.#options.rules.leaseEnd(this.#leaseStart, this.#options.timing);
  }

  /**
   * Checks whether this run controls an engine and the takeover wait is over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run's tenure is active.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    const control = this.#controlStates.get(engine);
    return control !== undefined && now >= control.activeFrom;
  }

  /**
   * Stops sending orders to an engine before its hand-over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Milliseconds since this run stopped.
   */
  stopOrders(engine: EngineId, now: Instant): number {
    const control = this.#controlStates.get(engine);
    if (control === undefined) return 0;
    control.stoppedAt ??= now;
    return elapsed(control.stoppedAt, now);
  }

  /**
   * Allows orders to an engine again, when no hand-over can take effect.
   * @param engine The engine.
   */
  resumeOrders(engine: EngineId): void {
    const control = this.#controlStates.get(engine);
    if (control !== undefined) control.stoppedAt = undefined;
  }

  /**
   * Checks whether a destructive order may be sent now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why no order may be sent.
   */
  authorizeOrder(
    engine: EngineId,
    now: Instant,
  ): Result<FencingNumber, Failure> {
    const tenure = this.#options.tenures.tenureOf(engine);
    const control = this.#controlStates.get(engine);
    if (tenure === undefined || control === undefined) {
      return err(fencedFailure(engine, "Another node controls the engine."));
    }
    if (now < control.activeFrom) {
      return err(
        fencedFailure(engine, "The controller before may still order."),
      );
    }
    const { rules } = this.#options;
    if (control.stoppedAt !== undefined && !rules.ordersDuringHandOver()) {
      return err(fencedFailure(engine, "The engine is being handed over."));
    }
    if (!this.#hasLeaseOrPromises(tenure, now)) {
      return err(
        fencedFailure(engine, "Lease and promises have lapsed."),
      );
    }
    assertInvariant(
      sameRun(tenure.controller, this.#options.self),
      "orders_only_by_the_controller",
      () => `engine ${engine} is controlled by ${tenure.controller.node}`,
    );
    return ok(tenure.fencing);
  }

  #hasLeaseOrPromises(tenure: Tenure, now: Instant): boolean {
    const { rules, timing, heldPromises, recordTracker } = this.#options;
    if (!rules.checksLease() || this.isLogFresh(now)) return true;
    if (this.#leaseStart === undefined) return false;
    if (now >= rules.promiseHorizonEnd(this.#leaseStart, timing)) return false;
    if (tenure.successors.length === 0) return false;
    const promisers = rules.requiredPromisers(
      tenure.successors,
      recordTracker.proposedSuccessors(tenure.engine),
    );
    return heldPromises.allHold(tenure.engine, { promisers, now });
  }
}

function fencedFailure(engine: EngineId, message: string): Failure {
  return {
    reason: "fenced",
    step: "take_over",
    peer: engine,
    message,
    outcome: "not_run",
  };
}
