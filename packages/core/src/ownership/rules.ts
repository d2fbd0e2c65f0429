import { listsRun, type NodeRun, type View } from "../membership/mod.ts";
import {
  type Duration,
  type FencingNumber,
  fencingNumber,
  type Instant,
  later,
  type LogOffset,
  milliseconds,
  type NodeId,
} from "../shared/mod.ts";
import type { Tenure, TenureReason, TenureWait } from "./tenure.ts";
import { atLeast, atMost, type OwnershipTiming } from "./timing.ts";

/** When an exchange began and ended, by the asker's clock. */
export interface Exchange {
  readonly startedAt: Instant;
  readonly endedAt: Instant;
}

/**
 * The rules on which the safety of ownership rests, one method each, so that
 * a test can replace one rule and see that the invariants notice.
 */
export abstract class OwnershipRules {
  /** The instant from which a tail read renews the lease. */
  abstract leaseStart(read: Exchange): Instant;
  /** The instant from which a granted promise counts for its holder. */
  abstract promiseStart(exchange: Exchange): Instant;
  /** When a lease that was renewed at `start` lapses. */
  abstract leaseEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** When a promise that counts from `start` lapses for its holder. */
  abstract promiseEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** When promises stop to carry a holder that read the log at `start`. */
  abstract horizonEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** How long a giver keeps a promise. */
  abstract promiseKept(timing: OwnershipTiming): Duration;
  /** How long a fresh run, which has forgotten its promises, claims nothing. */
  abstract restartWait(timing: OwnershipTiming): Duration;
  /** Whether a giver that may have an own claim under way promises. */
  abstract promisesDuringClaim(): boolean;
  /** Whether a run gives promises that the view it has read does not list. */
  abstract promisesAsStranger(): boolean;
  /** How long a new controller waits before its first order. */
  abstract takeoverWait(
    wait: TenureWait,
    options: {
      readonly timing: OwnershipTiming;
      readonly checksFencing: boolean;
    },
  ): Duration;
  /** The wait that a new tenure needs. */
  abstract waitOf(reason: TenureReason, before: Tenure | undefined): TenureWait;
  /** Whether a record's base is the record in force. */
  abstract acceptsBase(base: LogOffset, current: LogOffset): boolean;
  /** Whether a record at an offset is applied after those before `next`. */
  abstract appliesOffset(offset: LogOffset, next: LogOffset): boolean;
  /** Whether a run may append claims, given the view in force. */
  abstract acceptsClaimant(view: View, run: NodeRun): boolean;
  /** Whether a node may take over from a tenure. */
  abstract mayTakeOver(node: NodeId, before: Tenure): boolean;
  /** Whether a tenure may be repaired by a node that it does not name. */
  abstract mayRepair(view: View, before: Tenure): boolean;
  /** The number that fences the orders of a new tenure. */
  abstract fencing(
    offset: LogOffset,
    options: { readonly reason: TenureReason; readonly before?: Tenure },
  ): FencingNumber;
  /**
   * Whose promises a controller needs while records may be under way: those
   * of every list of successors that may be in force. None where such a list
   * is empty, as then promises cannot protect the controller.
   */
  abstract requiredPromisers(
    named: readonly NodeId[],
    proposed: readonly (readonly NodeId[])[],
  ): readonly NodeId[];
  /** Whether a controller that hands over gives further orders. */
  abstract ordersWhileReleasing(): boolean;
  /** Whether the controller also checks that the lease holds. */
  abstract checksLease(): boolean;
}

/** The rules in force. */
export class StandardOwnershipRules extends OwnershipRules {
  override leaseStart(read: Exchange): Instant {
    return read.startedAt;
  }

  override promiseStart(exchange: Exchange): Instant {
    return exchange.startedAt;
  }

  override leaseEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, atMost(timing.lease, timing));
  }

  override promiseEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, atMost(timing.promise, timing));
  }

  override horizonEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, atMost(timing.promiseHorizon, timing));
  }

  override promiseKept(timing: OwnershipTiming): Duration {
    return atLeast(timing.promise, timing);
  }

  override restartWait(timing: OwnershipTiming): Duration {
    return atLeast(timing.promise, timing);
  }

  override promisesDuringClaim(): boolean {
    return false;
  }

  override promisesAsStranger(): boolean {
    return false;
  }

  override takeoverWait(
    wait: TenureWait,
    { timing, checksFencing }: {
      readonly timing: OwnershipTiming;
      readonly checksFencing: boolean;
    },
  ): Duration {
    const flight = checksFencing ? 0 : timing.orderFlight;
    switch (wait) {
      case "none":
        return milliseconds(0);
      case "lease":
        return atLeast(milliseconds(timing.lease + flight), timing);
      case "horizon":
        return atLeast(
          milliseconds(timing.promiseHorizon + timing.lease + flight),
          timing,
        );
    }
  }

  override waitOf(
    reason: TenureReason,
    before: Tenure | undefined,
  ): TenureWait {
    switch (reason) {
      case "initial":
      case "handover":
      case "keep":
        return "none";
      case "takeover":
        return before?.wait === "horizon" ? "horizon" : "lease";
      case "repair": {
        const neverUsedPromises = before?.successors.length === 0 &&
          before.wait !== "horizon";
        return neverUsedPromises ? "lease" : "horizon";
      }
    }
  }

  override acceptsBase(base: LogOffset, current: LogOffset): boolean {
    return base === current;
  }

  override appliesOffset(offset: LogOffset, next: LogOffset): boolean {
    return offset >= next;
  }

  override acceptsClaimant(view: View, run: NodeRun): boolean {
    return listsRun(view, run);
  }

  override mayTakeOver(node: NodeId, before: Tenure): boolean {
    return before.successors.includes(node);
  }

  override mayRepair(view: View, before: Tenure): boolean {
    if (listsRun(view, before.controller)) return false;
    return !view.members.some((one) => before.successors.includes(one.node));
  }

  override fencing(
    offset: LogOffset,
    options: { readonly reason: TenureReason; readonly before?: Tenure },
  ): FencingNumber {
    const { reason, before } = options;
    if (reason === "keep" && before !== undefined) return before.fencing;
    return fencingNumber(offset);
  }

  override requiredPromisers(
    named: readonly NodeId[],
    proposed: readonly (readonly NodeId[])[],
  ): readonly NodeId[] {
    const lists = [named, ...proposed];
    if (lists.some((list) => list.length === 0)) return [];
    return [...new Set(lists.flat())];
  }

  override ordersWhileReleasing(): boolean {
    return false;
  }

  override checksLease(): boolean {
    return true;
  }
}
