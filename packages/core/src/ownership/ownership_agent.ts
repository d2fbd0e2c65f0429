import {
  listsRun,
  type Member,
  NO_OFFSET,
  sameRun,
} from "../membership/mod.ts";
import {
  type EngineId,
  type Failure,
  type FencingNumber,
  type Instant,
  type NodeId,
} from "../shared/mod.ts";
import type { Result } from "neverthrow";
import { ClaimLedger } from "./claim_ledger.ts";
import type { AppliedRecord, ClusterLogState } from "./cluster_log_state.ts";
import {
  candidatesFor,
  chooseSuccessors,
  type ControlledEngine,
} from "./designation.ts";
import { RightHolder } from "./order_right.ts";
import { PromiseBook } from "./promise_book.ts";
import { PromiseKeeper } from "./promise_keeper.ts";
import type { PromiseAnswer, PromiseAsk } from "./promise_message.ts";
import type { Exchange, OwnershipRules } from "./rules.ts";
import { SuccessionWatch } from "./succession_watch.ts";
import type { Tenure, TenureReason, TenureRecord } from "./tenure.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What an ownership agent starts with. */
export interface OwnershipAgentOptions {
  readonly self: Member;
  readonly timing: OwnershipTiming;
  readonly rules: OwnershipRules;
  readonly startedAt: Instant;
  readonly state: ClusterLogState;
}

/** What a tick is decided from. */
export interface OwnershipTick {
  /** The engines that the platform lists. */
  readonly engines: readonly ControlledEngine[];
  /** The members of the view that neither leave nor are suspected. */
  readonly live: readonly Member[];
  /** Whether this node leaves. */
  readonly isLeaving: boolean;
}

/** An ask and the node that it goes to. */
export interface OutgoingAsk {
  readonly to: NodeId;
  readonly ask: PromiseAsk;
}

/** What the ownership wants done after a tick. */
export interface OwnershipActions {
  readonly records: readonly TenureRecord[];
  readonly asks: readonly OutgoingAsk[];
}

/** One node's part in deciding which node controls each engine. */
export class OwnershipAgent {
  readonly #options: OwnershipAgentOptions;
  readonly #ledger = new ClaimLedger();
  readonly #promises: PromiseBook;
  readonly #keeper: PromiseKeeper;
  readonly #watch: SuccessionWatch;
  readonly #holder: RightHolder;
  readonly #kinds = new Map<EngineId, ControlledEngine>();
  #lastAsk: Instant | undefined;
  #records = 0;

  constructor(options: OwnershipAgentOptions) {
    this.#options = options;
    const { self, timing, rules, startedAt, state } = options;
    this.#promises = new PromiseBook(rules, timing);
    this.#keeper = new PromiseKeeper(rules, { timing, startedAt });
    this.#watch = new SuccessionWatch(timing, startedAt);
    this.#holder = new RightHolder({
      self,
      rules,
      timing,
      tenures: state.tenures,
      promises: this.#promises,
      ledger: this.#ledger,
    });
  }

  /** The engines that this run controls, or is about to. */
  get controlled(): readonly EngineId[] {
    return this.#holder.engines;
  }

  /**
   * Follows records that were applied.
   * @param now The present time.
   * @param applied The records.
   */
  follow(now: Instant, applied: readonly AppliedRecord[]): void {
    for (const { record, accepted } of applied) {
      if (record?.kind !== "tenure") continue;
      this.#ledger.close(record.id);
      if (accepted) this.#followTenure(now, record.engine);
    }
  }

  /**
   * Follows all tenures, as after a snapshot.
   * @param now The present time.
   */
  followAll(now: Instant): void {
    for (const tenure of this.#options.state.tenures.tenures) {
      this.#followTenure(now, tenure.engine);
    }
  }

  /**
   * Notes a read that reached the log's tail, after its records were applied.
   * @param read When it began and ended.
   */
  confirmTail(read: Exchange): void {
    this.#holder.confirmTail(read);
  }

  /**
   * Notes that the log refused a record for certain.
   * @param id The record's id.
   */
  notAppended(id: string): void {
    this.#ledger.close(id);
  }

  /**
   * Answers a controller that asks for promises.
   * @param now The present time.
   * @param ask The ask.
   * @returns The answer.
   */
  answer(now: Instant, ask: PromiseAsk): PromiseAnswer {
    const { state, self, rules, timing } = this.#options;
    const mayPromise = ask.duration <= timing.promise &&
      (listsRun(state.view, self) || rules.promisesAsStranger());
    const granted: EngineId[] = [];
    for (const { engine, tenure: asked } of ask.engines) {
      const tenure = state.tenures.tenureOf(engine);
      const known = tenure?.offset ?? NO_OFFSET;
      const isController = tenure !== undefined &&
        sameRun(tenure.controller, ask.from);
      if (isController) this.#watch.heard(engine, now);
      const isOutdated = known > asked || (known === asked && !isController);
      const claims = this.#ledger.mayClaim(engine) &&
        !rules.promisesDuringClaim();
      if (!mayPromise || isOutdated || claims) continue;
      this.#keeper.promise(engine, now);
      granted.push(engine);
    }
    const { node, incarnation } = self;
    return {
      kind: "promise",
      from: { node, incarnation },
      to: ask.from,
      number: ask.number,
      engines: granted,
    };
  }

  /**
   * Takes in a successor's answer.
   * @param now The present time.
   * @param answer The answer.
   */
  promised(now: Instant, answer: PromiseAnswer): void {
    if (!sameRun(answer.to, this.#options.self)) return;
    this.#promises.noteAnswer(now, answer);
  }

  /**
   * Decides whether a destructive order may be given now.
   * @param engine The engine.
   * @param now The present time.
   * @returns The order's fencing number, or why none may be given.
   */
  current(engine: EngineId, now: Instant): Result<FencingNumber, Failure> {
    return this.#holder.current(engine, now);
  }

  /**
   * Tells whether this run controls an engine and the waits are over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether it does.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    return this.#holder.isActive(engine, now);
  }

  /**
   * Decides claims, hand-overs and asks that are due.
   * @param now The present time.
   * @param tick What the decisions are made from.
   * @returns What is to be done.
   */
  tick(now: Instant, tick: OwnershipTick): OwnershipActions {
    this.#watch.tick(now);
    for (const engine of tick.engines) this.#kinds.set(engine.engine, engine);
    const asks = this.#asks(now);
    if (!this.#holder.isLogFresh(now)) return { records: [], asks };
    const records = tick.engines.flatMap((engine) => {
      const record = this.#decide(now, { engine, tick });
      return record === undefined ? [] : [record];
    });
    return { records, asks };
  }

  #followTenure(now: Instant, engine: EngineId): void {
    const tenure = this.#options.state.tenures.tenureOf(engine);
    if (tenure === undefined) return;
    this.#ledger.drop(engine, tenure.offset);
    this.#watch.heard(engine, now);
    const checksFencing = this.#kinds.get(engine)?.checksFencing ?? false;
    this.#holder.follow(now, { tenure, checksFencing });
  }

  #asks(now: Instant): readonly OutgoingAsk[] {
    const { timing, self, state, rules } = this.#options;
    const last = this.#lastAsk;
    if (last !== undefined && now - last < timing.askInterval) return [];
    this.#lastAsk = now;
    const byPeer = new Map<NodeId, PromiseAsk["engines"][number][]>();
    for (const engine of this.#holder.engines) {
      const tenure = state.tenures.tenureOf(engine);
      if (tenure === undefined) continue;
      const peers = rules.requiredPromisers(
        tenure.successors,
        this.#ledger.proposedSuccessors(engine),
      );
      for (const peer of peers) {
        const asked = byPeer.get(peer) ?? [];
        asked.push({ engine, tenure: tenure.offset });
        byPeer.set(peer, asked);
      }
    }
    const { node, incarnation } = self;
    return [...byPeer].map(([to, engines]) => ({
      to,
      ask: {
        kind: "ask" as const,
        from: { node, incarnation },
        number: this.#promises.noteAsk(now),
        duration: timing.promise,
        engines,
      },
    }));
  }

  #decide(now: Instant, context: DecisionContext): TenureRecord | undefined {
    const { engine } = context.engine;
    const { timing, state, self } = this.#options;
    const options = { now, wait: timing.appendTimeout };
    if (this.#ledger.isRecent(engine, options)) return undefined;
    const tenure = state.tenures.tenureOf(engine);
    if (tenure !== undefined && sameRun(tenure.controller, self)) {
      return this.#decideAsController(now, { ...context, tenure });
    }
    if (!listsRun(state.view, self) || context.tick.isLeaving) return undefined;
    if (!this.#keeper.isFree(engine, now)) return undefined;
    const reason = this.#claimReason(now, { ...context, tenure });
    if (reason === undefined) return undefined;
    this.#keeper.assertFree(engine, now);
    return this.#record(now, { ...context, tenure, reason, controller: self });
  }

  #claimReason(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure | undefined },
  ): TenureReason | undefined {
    const { tenure, tick } = context;
    const { rules, self, state, timing } = this.#options;
    const { engine } = context.engine;
    if (tenure === undefined) {
      return this.#isTurn(now, { ...context, condition: `initial/${engine}` })
        ? "initial"
        : undefined;
    }
    if (rules.mayTakeOver(self.node, tenure)) {
      const rank = Math.max(0, tenure.successors.indexOf(self.node));
      const wait = timing.suspectAfter + rank * timing.candidateStagger;
      const isLost = this.#watch.silence(engine, now) >= wait;
      return isLost ? "takeover" : undefined;
    }
    const condition = `repair/${engine}`;
    if (!rules.mayRepair(state.view, tenure) || tick.live.length === 0) {
      this.#watch.ended(condition);
      return undefined;
    }
    return this.#isTurn(now, { ...context, condition }) ? "repair" : undefined;
  }

  #isTurn(
    now: Instant,
    context: DecisionContext & { readonly condition: string },
  ): boolean {
    const { self, timing } = this.#options;
    const candidates = candidatesFor(context.engine, context.tick.live);
    const rank = candidates.findIndex((one) => one.node === self.node);
    const lasted = this.#watch.lasted(context.condition, now);
    return rank >= 0 && lasted >= rank * timing.candidateStagger;
  }

  #decideAsController(
    now: Instant,
    context: DecisionContext & { readonly tenure: Tenure },
  ): TenureRecord | undefined {
    const { tenure, tick } = context;
    const { engine } = context.engine;
    if (!this.#holder.isActive(engine, now)) return undefined;
    const candidates = candidatesFor(context.engine, tick.live);
    const target = this.#handOverTarget(now, { ...context, candidates });
    if (target !== undefined) {
      return this.#handOver(now, { ...context, target });
    }
    if (!this.#ledger.mayHandOver(engine)) this.#holder.resumeOrders(engine);
    const wanted = chooseSuccessors(candidates, tenure.controller.node);
    const isSame = wanted.join() === tenure.successors.join();
    if (isSame && tenure.wait !== "horizon") return undefined;
    return this.#record(now, {
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
    const best = context.candidates.find((one) => one.node !== self.node);
    if (context.tick.isLeaving) return best;
    const condition = `better/${context.engine.engine}`;
    if (best === undefined || best !== context.candidates[0]) {
      this.#watch.ended(condition);
      return undefined;
    }
    const lasted = this.#watch.lasted(condition, now);
    return lasted >= timing.rebalanceAfter ? best : undefined;
  }

  #handOver(
    now: Instant,
    context: DecisionContext & {
      readonly tenure: Tenure;
      readonly target: Member;
    },
  ): TenureRecord | undefined {
    const stopped = this.#holder.stopOrders(context.engine.engine, now);
    const { orderFlight } = this.#options.timing;
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
    const { node, incarnation } = this.#options.self;
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
    this.#ledger.open(now, record);
    return record;
  }
}

interface DecisionContext {
  readonly engine: ControlledEngine;
  readonly tick: OwnershipTick;
}
