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
import type { ControlledEngine } from "./designation.ts";
import { RightHolder } from "./order_right.ts";
import { PromiseBook } from "./promise_book.ts";
import { PromiseKeeper } from "./promise_keeper.ts";
import type { PromiseAnswer, PromiseAsk } from "./promise_message.ts";
import type { Exchange, OwnershipRules } from "./rules.ts";
import { SuccessionWatch } from "./succession_watch.ts";
import type { TenureRecord } from "./tenure.ts";
import { type OwnershipTick, TenureDecider } from "./tenure_decider.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What an ownership agent starts with. */
export interface OwnershipAgentOptions {
  readonly self: Member;
  readonly timing: OwnershipTiming;
  readonly rules: OwnershipRules;
  readonly startedAt: Instant;
  readonly state: ClusterLogState;
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
  readonly #decider: TenureDecider;
  readonly #kinds = new Map<EngineId, ControlledEngine>();
  #lastAsk: Instant | undefined;

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
    this.#decider = new TenureDecider({
      self,
      rules,
      timing,
      state,
      ledger: this.#ledger,
      keeper: this.#keeper,
      watch: this.#watch,
      holder: this.#holder,
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
      const record = this.#decider.decide(now, { engine, tick });
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
}
