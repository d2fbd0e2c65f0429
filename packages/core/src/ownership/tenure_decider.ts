import {
  listsRun,
  type Member,
  NO_OFFSET,
  sameRun,
} from "../membership/mod.ts";
import type { Instant } from "../shared/mod.ts";
import type { ClaimLedger } from "./claim_ledger.ts";
import type { ClusterLogState } from "./cluster_log_state.ts";
import {
  candidatesFor,
  chooseSuccessors,
  type ControlledEngine,
} from "./designation.ts";
import type { RightHolder } from "./order_right.ts";
import type { PromiseKeeper } from "./promise_keeper.ts";
import type { OwnershipRules } from "./rules.ts";
import type { SuccessionWatch } from "./succession_watch.ts";
import type { Tenure, TenureReason, TenureRecord } from "./tenure.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What a tick is decided from. */
export interface OwnershipTick {
  /** The engines that the platform lists. */
  readonly engines: readonly ControlledEngine[];
  /** The members of the view that neither leave nor are suspected. */
  readonly live: readonly Member[];
  /** Whether this node leaves. */
  readonly isLeaving: boolean;
}

/** What a decider works with. */
export interface TenureDeciderParts {
  readonly self: Member;
  readonly rules: OwnershipRules;
  readonly timing: OwnershipTiming;
  readonly state: ClusterLogState;
  readonly ledger: ClaimLedger;
  readonly keeper: PromiseKeeper;
  readonly watch: SuccessionWatch;
  readonly holder: RightHolder;
}

/** An engine, and what a tick is decided from. */
export interface DecisionContext {
  readonly engine: ControlledEngine;
  readonly tick: OwnershipTick;
}

/** Decides when this run claims, keeps or hands over an engine. */
export class TenureDecider {
  readonly #parts: TenureDeciderParts;
  #records = 0;

  constructor(parts: TenureDeciderParts) {
    this.#parts = parts;
  }

  /**
   * Decides whether a record about an engine is due.
   * @param now The present time.
   * @param context The engine, and what the tick is decided from.
   * @returns The record to append, noted in the ledger, or nothing.
   */
  decide(
    now: Instant,
    context: DecisionContext,
  ): TenureRecord | undefined {
    const { engine } = context.engine;
    const { timing, state, self } = this.#parts;
    const options = { now, wait: timing.appendTimeout };
    if (this.#parts.ledger.isRecent(engine, options)) return undefined;
    const tenure = state.tenures.tenureOf(engine);
    if (tenure !== undefined && sameRun(tenure.controller, self)) {
      return this.#decideAsController(now, { ...context, tenure });
    }
    if (!listsRun(state.view, self) || context.tick.isLeaving) return undefined;
    if (!this.#parts.keeper.isFree(engine, now)) return undefined;
    const reason = this.#claimReason(now, { ...context, tenure });
    if (reason === undefined) return undefined;
    this.#parts.keeper.assertFree(engine, now);
    return this.#record(now, { ...context, tenure, reason, controller: self });
  }

  #claimReason(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure | undefined },
  ): TenureReason | undefined {
    const { tenure, tick } = context;
    const { rules, self, state, timing } = this.#parts;
    const { engine } = context.engine;
    if (tenure === undefined) {
      return this.#isTurn(now, { ...context, condition: `initial/${engine}` })
        ? "initial"
        : undefined;
    }
    if (rules.mayTakeOver(self.node, tenure)) {
      const rank = Math.max(0, tenure.successors.indexOf(self.node));
      const wait = timing.suspectAfter + rank * timing.candidateStagger;
      const isLost = this.#parts.watch.silence(engine, now) >= wait;
      return isLost ? "takeover" : undefined;
    }
    const condition = `repair/${engine}`;
    if (!rules.mayRepair(state.view, tenure) || tick.live.length === 0) {
      this.#parts.watch.ended(condition);
      return undefined;
    }
    return this.#isTurn(now, { ...context, condition }) ? "repair" : undefined;
  }

  #isTurn(
    now: Instant,
    context: DecisionContext & { readonly condition: string },
  ): boolean {
    const { self, timing } = this.#parts;
    const candidates = candidatesFor(context.engine, context.tick.live);
    const rank = candidates.findIndex((one) => one.node === self.node);
    const lasted = this.#parts.watch.lasted(context.condition, now);
    return rank >= 0 && lasted >= rank * timing.candidateStagger;
  }

  #decideAsController(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure },
  ): TenureRecord | undefined {
    const { tenure, tick } = context;
    const { engine } = context.engine;
    if (!this.#parts.holder.isActive(engine, now)) return undefined;
    const candidates = candidatesFor(context.engine, tick.live);
    const target = this.#handOverTarget(now, { ...context, candidates });
    if (target !== undefined) {
      return this.#handOver(now, { ...context, target });
    }
    if (!this.#parts.ledger.mayHandOver(engine)) {
      this.#parts.holder.resumeOrders(engine);
    }
    const wanted = chooseSuccessors(candidates, tenure.controller.node);
    const isSame = wanted.join() === tenure.successors.join();
    if (isSame && tenure.wait !== "horizon") return undefined;
    return this.#record(now, {
      ...context,
      reason: "keep",
      controller: this.#parts.self,
    });
  }

  #handOverTarget(
    now: Instant,
    context: DecisionContext & { readonly candidates: readonly Member[] },
  ): Member | undefined {
    const { self, timing } = this.#parts;
    const best = context.candidates.find((one) => one.node !== self.node);
    if (context.tick.isLeaving) return best;
    const condition = `better/${context.engine.engine}`;
    if (best === undefined || best !== context.candidates[0]) {
      this.#parts.watch.ended(condition);
      return undefined;
    }
    const lasted = this.#parts.watch.lasted(condition, now);
    return lasted >= timing.rebalanceAfter ? best : undefined;
  }

  #handOver(
    now: Instant,
    context: DecisionContext & {
      readonly tenure: Tenure;
      readonly target: Member;
    },
  ): TenureRecord | undefined {
    const stopped = this.#parts.holder.stopOrders(context.engine.engine, now);
    const { orderFlight } = this.#parts.timing;
    const isQuiet = context.engine.checksFencing || stopped >= orderFlight * 2;
    if (!isQuiet) return undefined;
    return this.#record(now, {
      ...context,
      reason: "handover",
      controller: context.target,
    });
  }

  #record(
    now: Instant,
    context: DecisionContext & {
      readonly tenure: Tenure | undefined;
      readonly reason: TenureReason;
      readonly controller: Member;
    },
  ): TenureRecord {
    const { node, incarnation } = this.#parts.self;
    const { controller, tick, reason, tenure } = context;
    const live = tick.live.filter((one) =>
      !(tick.isLeaving && one.node === node)
    );
    const candidates = candidatesFor(context.engine, live);
    this.#records += 1;
    const record: TenureRecord = {
      kind: "tenure",
      id: `${node}/${incarnation}/tenure/${String(this.#records)}`,
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
    this.#parts.ledger.open(now, record);
    return record;
  }
}
