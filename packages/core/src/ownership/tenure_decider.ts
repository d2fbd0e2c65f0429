import {
  listsRun,
  type Member,
  NO_OFFSET,
  sameRun,
} from "../membership/mod.ts";
import type { Instant } from "../shared/mod.ts";
import type { TenureRecordTracker } from "./tenure_record_tracker.ts";
import type { ClusterLogState } from "./cluster_log_state.ts";
import {
  chooseSuccessors,
  type ControlledEngine,
  rankCandidates,
} from "./controller_candidates.ts";
import type { OrderAuthority } from "./order_authority.ts";
import type { GrantedPromises } from "./granted_promises.ts";
import type { OwnershipRules } from "./rules.ts";
import type { SuccessionTimers } from "./succession_timers.ts";
import type { Tenure, TenureReason, TenureRecord } from "./tenure.ts";
import type { OwnershipTiming } from "./timing.ts";

/** The input of one tick. */
export interface OwnershipTick {
  /** The engines listed by the platform. */
  readonly engines: readonly ControlledEngine[];
  /** The members of the view that are neither leaving nor suspected. */
  readonly live: readonly Member[];
  /** Whether this node is leaving. */
  readonly isLeaving: boolean;
}

/** Options of a {@link TenureDecider}. */
export interface TenureDeciderOptions {
  readonly self: Member;
  readonly rules: OwnershipRules;
  readonly timing: OwnershipTiming;
  readonly state: ClusterLogState;
  readonly recordTracker: TenureRecordTracker;
  readonly grantedPromises: GrantedPromises;
  readonly timers: SuccessionTimers;
  readonly authority: OrderAuthority;
}

/** An engine and the input of the tick. */
export interface DecisionContext {
  readonly engine: ControlledEngine;
  readonly tick: OwnershipTick;
}

/** Decides when this run claims, keeps or hands over an engine. */
export class TenureDecider {
  readonly #options: TenureDeciderOptions;
  #recordCount = 0;

  constructor(options: TenureDeciderOptions) {
    this.#options = options;
  }

  /**
   * Decides whether a record about an engine is due.
   * @param now The present time.
   * @param context The engine and the input of the tick.
   * @returns The record to append, already tracked, or undefined.
   */
  decide(
    now: Instant,
    context: DecisionContext,
  ): TenureRecord | undefined {
    const { engine } = context.engine;
    const { timing, state, self } = this.#options;
    const retryDelay = { now, wait: timing.appendTimeout };
    if (this.#options.recordTracker.hasRecentAttempt(engine, retryDelay)) {
      return undefined;
    }
    const tenure = state.tenures.tenureOf(engine);
    if (tenure !== undefined && sameRun(tenure.controller, self)) {
      return this.#decideAsController(now, { ...context, tenure });
    }
    if (!listsRun(state.view, self) || context.tick.isLeaving) return undefined;
    if (!this.#options.grantedPromises.mayClaim(engine, now)) return undefined;
    const reason = this.#claimReason(now, { ...context, tenure });
    if (reason === undefined) return undefined;
    this.#options.grantedPromises.assertMayClaim(engine, now);
    return this.#createRecord(now, {
      ...context,
      tenure,
      reason,
      controller: self,
    });
  }

  #claimReason(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure | undefined },
  ): TenureReason | undefined {
    const { tenure, tick } = context;
    const { rules, self, state, timing } = this.#options;
    const { engine } = context.engine;
    if (tenure === undefined) {
      return this.#isTurnToClaim(now, {
          ...context,
          condition: `initial/${engine}`,
        })
        ? "initial"
        : undefined;
    }
    if (rules.mayTakeOver(self.node, tenure)) {
      const rank = Math.max(0, tenure.successors.indexOf(self.node));
      const wait = timing.suspectAfter + rank * timing.candidateStagger;
      const isControllerSilent =
        this.#options.timers.silenceDuration(engine, now) >= wait;
      return isControllerSilent ? "takeover" : undefined;
    }
    const condition = `repair/${engine}`;
    if (!rules.mayRepair(state.view, tenure) || tick.live.length === 0) {
      this.#options.timers.clearCondition(condition);
      return undefined;
    }
    return this.#isTurnToClaim(now, { ...context, condition })
      ? "repair"
      : undefined;
  }

  #isTurnToClaim(
    now: Instant,
    context: DecisionContext & { readonly condition: string },
  ): boolean {
    const { self, timing } = this.#options;
    const candidates = rankCandidates(context.engine, context.tick.live);
    const rank = candidates.findIndex((one) => one.node === self.node);
    const duration = this.#options.timers.conditionDuration(
      context.condition,
      now,
    );
    return rank >= 0 && duration >= rank * timing.candidateStagger;
  }

  #decideAsController(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure },
  ): TenureRecord | undefined {
    const { tenure, tick } = context;
    const { engine } = context.engine;
    if (!this.#options.authority.isActive(engine, now)) return undefined;
    const candidates = rankCandidates(context.engine, tick.live);
    const target = this.#handOverTarget(now, { ...context, candidates });
    if (target !== undefined) {
      return this.#handOver(now, { ...context, target });
    }
    if (!this.#options.recordTracker.hasPendingHandOver(engine)) {
      this.#options.authority.resumeOrders(engine);
    }
    const desiredSuccessors = chooseSuccessors(
      candidates,
      tenure.controller.node,
    );
    const areUnchanged = desiredSuccessors.join() === tenure.successors.join();
    if (areUnchanged && tenure.wait !== "horizon") return undefined;
    return this.#createRecord(now, {
      ...context,
      reason: "keep",
      controller: this.#options.self,
    });
  }

  #handOverTarget(
    now: Instant,
    context: DecisionContext & { readonly candidates: readonly Member[] },
  ): Member | undefined {
    const { self, timing } = this.#options;
    const bestOther = context.candidates.find((one) => one.node !== self.node);
    if (context.tick.isLeaving) return bestOther;
    const condition = `better/${context.engine.engine}`;
    if (bestOther === undefined || bestOther !== context.candidates[0]) {
      this.#options.timers.clearCondition(condition);
      return undefined;
    }
    const duration = this.#options.timers.conditionDuration(condition, now);
    return duration >= timing.rebalanceAfter ? bestOther : undefined;
  }

  #handOver(
    now: Instant,
    context: DecisionContext & {
      readonly tenure: Tenure;
      readonly target: Member;
    },
  ): TenureRecord | undefined {
    const stoppedFor = this.#options.authority.stopOrders(
      context.engine.engine,
      now,
    );
    const { orderFlight } = this.#options.timing;
    const haveOrdersEnded = context.engine.checksFencing ||
      stoppedFor >= orderFlight * 2;
    if (!haveOrdersEnded) return undefined;
    return this.#createRecord(now, {
      ...context,
      reason: "handover",
      controller: context.target,
    });
  }

  #createRecord(
    now: Instant,
    context: DecisionContext & {
      readonly tenure: Tenure | undefined;
      readonly reason: TenureReason;
      readonly controller: Member;
    },
  ): TenureRecord {
    const { node, incarnation } = this.#options.self;
    const { controller, tick, reason, tenure } = context;
    const live = tick.live.filter((one) =>
      !(tick.isLeaving && one.node === node)
    );
    const candidates = rankCandidates(context.engine, live);
    this.#recordCount += 1;
    const record: TenureRecord = {
      kind: "tenure",
      id: `${node}/${incarnation}/tenure/${String(this.#recordCount)}`,
      engine: context.engine.engine,
      base: tenure?.offset ?? NO_OFFSET,
      reason,
      by: { node, incarnation },
      controller: {
        node: controller.node,
        incarnation: controller.incarnation,
      },
      successors: chooseSuccessors(candidates, controller.node),
    };
    this.#options.recordTracker.track(now, record);
    return record;
  }
}
