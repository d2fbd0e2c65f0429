import {
  type Duration,
  type FencingNumber,
  fencingNumber,
  type Instant,
  later,
  type LogOffset,
  milliseconds,
  type NodeId,
  type OwnershipRules,
  type OwnershipTiming,
  type RoundTrip,
  seconds,
  StandardOwnershipRules,
  type Tenure,
  type TenureReason,
  type TenureWait,
} from "@foxtailwind/core";
import type { ScenarioFamily } from "./scenario.ts";

/** One rule of ownership replaced by a wrong one. */
export interface OwnershipMutant {
  readonly name: string;
  readonly rules: OwnershipRules;
  /** The scenarios that bring the fault about; any where it is left out. */
  readonly family?: ScenarioFamily;
}

/** A lease that lapses later than clocks at the edge of the margin allow. */
const LATE_SHARE = 1.2;

class DropsLeaseCheck extends StandardOwnershipRules {
  override checksLease(): boolean {
    return false;
  }
}

class CountsLeaseFromReadEnd extends StandardOwnershipRules {
  override leaseStart(read: RoundTrip): Instant {
    return read.endedAt;
  }
}

class CountsPromiseFromAnswer extends StandardOwnershipRules {
  override promiseStart(exchange: RoundTrip): Instant {
    return exchange.endedAt;
  }
}

class IgnoresClockRates extends StandardOwnershipRules {
  override leaseEnd(start: Instant, timing: OwnershipTiming): Instant {
    return later(start, milliseconds(timing.lease * LATE_SHARE));
  }
}

class SkipsTakeoverWait extends StandardOwnershipRules {
  override takeoverWait(): Duration {
    return milliseconds(0);
  }
}

class SkipsFlightWait extends StandardOwnershipRules {
  override takeoverWait(
    wait: TenureWait,
    { timing }: {
      readonly timing: OwnershipTiming;
      readonly checksFencing: boolean;
    },
  ): Duration {
    return super.takeoverWait(wait, { timing, checksFencing: true });
  }
}

class ForgetsPromisesOnRestart extends StandardOwnershipRules {
  override restartWait(): Duration {
    return milliseconds(0);
  }
}

class BreaksPromises extends StandardOwnershipRules {
  override promiseGrantDuration(): Duration {
    return milliseconds(0);
  }
}

class PromisesDuringClaim extends StandardOwnershipRules {
  override promisesDuringClaim(): boolean {
    return true;
  }
}

class PromisesAsStranger extends StandardOwnershipRules {
  override promisesWhenUnlisted(): boolean {
    return true;
  }
}

class AcceptsStaleBase extends StandardOwnershipRules {
  override acceptsBase(): boolean {
    return true;
  }
}

class AppliesLowerOffset extends StandardOwnershipRules {
  override appliesOffset(): boolean {
    return true;
  }
}

class LetsOutsidersTakeOver extends StandardOwnershipRules {
  override mayTakeOver(node: NodeId, before: Tenure): boolean {
    return node !== before.controller.node;
  }
}

class AcceptsOldRuns extends StandardOwnershipRules {
  override acceptsClaimant(): boolean {
    return true;
  }
}

class RepairsWithoutCause extends StandardOwnershipRules {
  override mayRepair(): boolean {
    return true;
  }

  override takeoverWaitKind(
    reason: TenureReason,
    before: Tenure | undefined,
  ): TenureWait {
    return reason === "repair"
      ? "lease"
      : super.takeoverWaitKind(reason, before);
  }
}

class RepairsAfterLeaseOnly extends StandardOwnershipRules {
  override takeoverWaitKind(
    reason: TenureReason,
    before: Tenure | undefined,
  ): TenureWait {
    return reason === "repair"
      ? "lease"
      : super.takeoverWaitKind(reason, before);
  }
}

class ForgetsRepairWait extends StandardOwnershipRules {
  override takeoverWaitKind(
    reason: TenureReason,
    before: Tenure | undefined,
  ): TenureWait {
    return reason === "takeover"
      ? "lease"
      : super.takeoverWaitKind(reason, before);
  }
}

class DropsPromiseHorizon extends StandardOwnershipRules {
  override promiseHorizonEnd(start: Instant): Instant {
    return later(start, seconds(3_600));
  }
}

class LowersFencing extends StandardOwnershipRules {
  override fencingNumberFor(offset: LogOffset): FencingNumber {
    return fencingNumber(0 - offset);
  }
}

class NeedsOnePromise extends StandardOwnershipRules {
  override requiredPromisers(named: readonly NodeId[]): readonly NodeId[] {
    return named.slice(0, 1);
  }
}

class ForgetsProposedSuccessors extends StandardOwnershipRules {
  override requiredPromisers(named: readonly NodeId[]): readonly NodeId[] {
    return named;
  }
}

class AllowsNoSuccessor extends StandardOwnershipRules {
  override requiredPromisers(
    named: readonly NodeId[],
    proposed: readonly (readonly NodeId[])[],
  ): readonly NodeId[] {
    return [...new Set([...named, ...proposed.flat()])];
  }
}

class OrdersWhileReleasing extends StandardOwnershipRules {
  override ordersDuringHandOver(): boolean {
    return true;
  }
}

/** Deliberate faults, each of which an invariant has to notice. */
export const OWNERSHIP_MUTANTS: readonly OwnershipMutant[] = [
  { name: "drop the lease check", rules: new DropsLeaseCheck() },
  {
    name: "count the lease from the end of the read",
    rules: new CountsLeaseFromReadEnd(),
  },
  {
    name: "count a promise from its answer",
    rules: new CountsPromiseFromAnswer(),
  },
  { name: "let the lease outlast its margin", rules: new IgnoresClockRates() },
  { name: "skip the wait of a successor", rules: new SkipsTakeoverWait() },
  {
    name: "skip the longest flight of an order",
    rules: new SkipsFlightWait(),
  },
  {
    name: "forget promises on a restart",
    rules: new ForgetsPromisesOnRestart(),
    family: "forgottenPromise",
  },
  { name: "claim in spite of a promise", rules: new BreaksPromises() },
  {
    name: "promise while an own claim is under way",
    rules: new PromisesDuringClaim(),
    family: "lateClaim",
  },
  {
    name: "promise before the join is read",
    rules: new PromisesAsStranger(),
    family: "lateClaim",
  },
  { name: "accept a record with a stale base", rules: new AcceptsStaleBase() },
  { name: "apply a lower offset", rules: new AppliesLowerOffset() },
  {
    name: "let nodes that are not designated take over",
    rules: new LetsOutsidersTakeOver(),
  },
  {
    name: "accept claims of earlier runs",
    rules: new AcceptsOldRuns(),
    family: "lateClaim",
  },
  { name: "repair without a cause", rules: new RepairsWithoutCause() },
  {
    name: "repair after the lease only",
    rules: new RepairsAfterLeaseOnly(),
    family: "isolatedGroup",
  },
  {
    name: "forget a repair's wait at the next takeover",
    rules: new ForgetsRepairWait(),
    family: "isolatedGroup",
  },
  {
    name: "drop the horizon of promises",
    rules: new DropsPromiseHorizon(),
    family: "isolatedGroup",
  },
  { name: "lower the fencing number", rules: new LowersFencing() },
  { name: "need one promise only", rules: new NeedsOnePromise() },
  {
    name: "forget successors that are under way",
    rules: new ForgetsProposedSuccessors(),
  },
  {
    name: "use promises though no successor may be named",
    rules: new AllowsNoSuccessor(),
    family: "unseenKeep",
  },
  {
    name: "order during a hand-over",
    rules: new OrdersWhileReleasing(),
  },
];
