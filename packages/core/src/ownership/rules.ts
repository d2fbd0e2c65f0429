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
import {
  lengthenByClockMargin,
  type OwnershipTiming,
  shortenByClockMargin,
} from "./timing.ts";

/** Start and end of a request, by the requester's clock. */
export interface RoundTrip {
  readonly startedAt: Instant;
  readonly endedAt: Instant;
}

/**
 * The rules that make ownership safe, one per method, so that a test can
 * replace a single rule and check that the invariants detect it.
 */
export abstract class OwnershipRules {
  /** The instant from which a tail read renews the lease. */
  abstract leaseStart(read: RoundTrip): Instant;
  /** The instant from which a granted promise is valid for its holder. */
  abstract promiseStart(request: RoundTrip): Instant;
  /** When a lease that was renewed at `start` expires. */
  abstract leaseEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** When a promise that is valid from `start` expires for its holder. */
  abstract promiseEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** When promises stop replacing the lease after a log read at `start`. */
  abstract promiseHorizonEnd(start: Instant, timing: OwnershipTiming): Instant;
  /** How long the granting node honors a promise. */
  abstract promiseGrantDuration(timing: OwnershipTiming): Duration;
  /** How long a new run, which has lost its granted promises, may not claim. */
  abstract restartWait(timing: OwnershipTiming): Duration;
  /** Whether a node grants a promise while its own claim may be pending. */
  abstract promisesDuringClaim(): boolean;
  /** Whether a run grants promises while its view does not list it. */
  abstract promisesWhenUnlisted(): boolean;
  /** How long a new controller waits before its first order. */
  abstract takeoverWait(
    wait: TenureWait,
    options: {
      readonly timing: OwnershipTiming;
      readonly checksFencing: boolean;
    },
  ): Duration;
  /** The kind of wait that a new tenure requires. */
  abstract takeoverWaitKind(
    reason: TenureReason,
    before: Tenure | undefined,
  ): TenureWait;
  /** Whether a record is based on the current record. */
  abstract acceptsBase(base: LogOffset, current: LogOffset): boolean;
  /** Whether a record at `offset` is applied when `next` is expected. */
  abstract appliesOffset(offset: LogOffset, next: LogOffset): boolean;
  /** Whether a run may append claims under the current view. */
  abstract acceptsClaimant(view: View, run: NodeRun): boolean;
  /** Whether a node may take over an engine from its current tenure. */
  abstract mayTakeOver(node: NodeId, before: Tenure): boolean;
  /** Whether a node that the tenure does not name may claim the engine. */
  abstract mayRepair(view: View, before: Tenure): boolean;
  /** The number that fences the orders of a new tenure. */
  abstract fencingNumberFor(
    offset: LogOffset,
    options: { readonly reason: TenureReason; readonly before?: Tenure },
  ): FencingNumber;
  /**
   * The nodes whose promises a controller needs while records may be pending:
   * all nodes of every successor list that may be in effect. Empty if any such
   * list is empty, since promises then cannot protect the controller.
   */
  abstract requiredPromisers(
    named: readonly NodeId[],
    proposed: readonly (readonly NodeId[])[],
  ): readonly NodeId[];
  /** Whether a controller sends orders while it hands over an engine. */
  abstract ordersDuringHandOver(): boolean;
  /** Whether the controller also checks that its lease is valid. */
  abstract checksLease(): boolean;
}

/** The rules used in production. */
export class StandardOwnershipRules extends OwnershipRules {
  override leaseStart(read: RoundTrip): Instant {
    return read.startedAt;
  }

  override promiseStart(request: RoundTrip): Instant {
    return request.startedAt;
  }

  override leaseEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, shortenByClockMargin(timing.lease, timing));
  }

  override promiseEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, shortenByClockMargin(timing.promise, timing));
  }

  override promiseHorizonEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, shortenByClockMargin(timing.promiseHorizon, timing));
  }

  override promiseGrantDuration(timing: OwnershipTiming): Duration {
    return lengthenByClockMargin(timing.promise, timing);
  }

  override restartWait(timing: OwnershipTiming): Duration {
    return lengthenByClockMargin(timing.promise, timing);
  }

  override promisesDuringClaim(): boolean {
    return false;
  }

  override promisesWhenUnlisted(): boolean {
    return false;
  }

  override takeoverWait(
    wait: TenureWait,
    { timing, checksFencing }: {
      readonly timing: OwnershipTiming;
      readonly checksFencing: boolean;
    },
  ): Duration {
    const orderFlight = checksFencing ? 0 : timing.orderFlight;
    switch (wait) {
      case "none":
        return milliseconds(0);
      case "lease":
        return lengthenByClockMargin(
          milliseconds(timing.lease + orderFlight),
          timing,
        );
      case "horizon":
        return lengthenByClockMargin(
          milliseconds(timing.promiseHorizon + timing.lease + orderFlight),
          timing,
        );
    }
  }

  override takeoverWaitKind(
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

  override fencingNumberFor(
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

  override ordersDuringHandOver(): boolean {
    return false;
  }

  override checksLease(): boolean {
    return true;
  }
}
