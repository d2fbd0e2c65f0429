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
import { TenureRecordTracker } from "./tenure_record_tracker.ts";
import type { AppliedRecord, ClusterLogState } from "./cluster_log_state.ts";
import type { ControlledEngine } from "./controller_candidates.ts";
import { OrderAuthority } from "./order_authority.ts";
import { HeldPromises } from "./held_promises.ts";
import { GrantedPromises } from "./granted_promises.ts";
import type { PromiseRequest, PromiseResponse } from "./promise_message.ts";
import type { OwnershipRules, RoundTrip } from "./rules.ts";
import { SuccessionTimers } from "./succession_timers.ts";
import type { TenureRecord } from "./tenure.ts";
import { type OwnershipTick, TenureDecider } from "./tenure_decider.ts";
import type { OwnershipTiming } from "./timing.ts";

/** Options of an {@link OwnershipAgent}. */
export interface OwnershipAgentOptions {
  readonly self: Member;
  readonly timing: OwnershipTiming;
  readonly rules: OwnershipRules;
  readonly startedAt: Instant;
  readonly state: ClusterLogState;
}

/** A promise request and its recipient. */
export interface OutgoingPromiseRequest {
  readonly to: NodeId;
  readonly request: PromiseRequest;
}

/** The records to append and the promise requests to send. */
export interface OwnershipActions {
  readonly records: readonly TenureRecord[];
  readonly promiseRequests: readonly OutgoingPromiseRequest[];
}

/** Runs one node's part of the protocol that assigns engines to nodes. */
export class OwnershipAgent {
  readonly #options: OwnershipAgentOptions;
  readonly #recordTracker = new TenureRecordTracker();
  readonly #heldPromises: HeldPromises;
  readonly #grantedPromises: GrantedPromises;
  readonly #timers: SuccessionTimers;
  readonly #authority: OrderAuthority;
  readonly #decider: TenureDecider;
  readonly #knownEngines = new Map<EngineId, ControlledEngine>();
  #lastRequestAt: Instant | undefined;

  constructor(options: OwnershipAgentOptions) {
    this.#options = options;
    const { self, timing, rules, startedAt, state } = options;
    this.#heldPromises = new HeldPromises(rules, timing);
    this.#grantedPromises = new GrantedPromises(rules, { timing, startedAt });
    this.#timers = new SuccessionTimers(timing, startedAt);
    this.#authority = new OrderAuthority({
      self,
      rules,
      timing,
      tenures: state.tenures,
      heldPromises: this.#heldPromises,
      recordTracker: this.#recordTracker,
    });
    this.#decider = new TenureDecider({
      self,
      rules,
      timing,
      state,
      recordTracker: this.#recordTracker,
      grantedPromises: this.#grantedPromises,
      timers: this.#timers,
      authority: this.#authority,
    });
  }

  /** The engines that this run controls or is about to control. */
  get controlled(): readonly EngineId[] {
    return this.#authority.controlledEngines;
  }

  /**
   * Updates the state after records were applied.
   * @param now The present time.
   * @param applied The records.
   */
  onRecordsApplied(now: Instant, applied: readonly AppliedRecord[]): void {
    for (const { record, accepted } of applied) {
      if (record?.kind !== "tenure") continue;
      this.#recordTracker.settle(record.id);
      if (accepted) this.#onTenureChanged(now, record.engine);
    }
  }

  /**
   * Updates the state of all engines after a snapshot was restored.
   * @param now The present time.
   */
  onStateRestored(now: Instant): void {
    for (const tenure of this.#options.state.tenures.tenures) {
      this.#onTenureChanged(now, tenure.engine);
    }
  }

  /**
   * Renews the lease after a read that reached the log's tail. Call this after
   * its records were applied.
   * @param read The start and end of the read.
   */
  confirmTail(read: RoundTrip): void {
    this.#authority.confirmTail(read);
  }

  /**
   * Handles the confirmation that a record was not appended.
   * @param id The record's id.
   */
  appendRejected(id: string): void {
    this.#recordTracker.settle(id);
  }

  /**
   * Answers a controller's promise request.
   * @param now The present time.
   * @param request The request.
   * @returns The response, with the engines for which a promise is granted.
   */
  answerPromiseRequest(now: Instant, request: PromiseRequest): PromiseResponse {
    const { state, self, rules, timing } = this.#options;
    const mayPromise = request.duration <= timing.promise &&
      (listsRun(state.view, self) || rules.promisesWhenUnlisted());
    const granted: EngineId[] = [];
    for (const { engine, tenure: requestedTenure } of request.engines) {
      const tenure = state.tenures.tenureOf(engine);
      const knownTenure = tenure?.offset ?? NO_OFFSET;
      const isController = tenure !== undefined &&
        sameRun(tenure.controller, request.from);
      if (isController) this.#timers.controllerHeard(engine, now);
      const isOutdated = knownTenure > requestedTenure ||
        (knownTenure === requestedTenure && !isController);
      const hasConflictingClaim = this.#recordTracker.hasPendingClaim(engine) &&
        !rules.promisesDuringClaim();
      if (!mayPromise || isOutdated || hasConflictingClaim) continue;
      this.#grantedPromises.grant(engine, now);
      granted.push(engine);
    }
    const { node, incarnation } = self;
    return {
      kind: "promise",
      from: { node, incarnation },
      to: request.from,
      number: request.number,
      engines: granted,
    };
  }

  /**
   * Handles a successor's response to a promise request.
   * @param now The present time.
   * @param response The response.
   */
  onPromiseResponse(now: Instant, response: PromiseResponse): void {
    if (!sameRun(response.to, this.#options.self)) return;
    this.#heldPromises.recordResponse(now, response);
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
    return this.#authority.authorizeOrder(engine, now);
  }

  /**
   * Checks whether this run controls an engine and the takeover wait is over.
   * @param engine The engine.
   * @param now The present time.
   * @returns Whether this run's tenure is active.
   */
  isActive(engine: EngineId, now: Instant): boolean {
    return this.#authority.isActive(engine, now);
  }

  /**
   * Determines the claims, hand-overs and promise requests that are due.
   * @param now The present time.
   * @param tick The engines and members to decide from.
   * @returns The records to append and the requests to send.
   */
  tick(now: Instant, tick: OwnershipTick): OwnershipActions {
    this.#timers.tick(now);
    for (const engine of tick.engines) {
      this.#knownEngines.set(engine.engine, engine);
    }
    const promiseRequests = this.#duePromiseRequests(now);
    if (!this.#authority.isLogFresh(now)) {
      return { records: [], promiseRequests };
    }
    const records = tick.engines.flatMap((engine) => {
      const record = this.#decider.decide(now, { engine, tick });
      return record === undefined ? [] : [record];
    });
    return { records, promiseRequests };
  }

  #onTenureChanged(now: Instant, engine: EngineId): void {
    const tenure = this.#options.state.tenures.tenureOf(engine);
    if (tenure === undefined) return;
    this.#recordTracker.dropStale(engine, tenure.offset);
    this.#timers.controllerHeard(engine, now);
    const checksFencing = this.#knownEngines.get(engine)?.checksFencing ??
      false;
    this.#authority.onTenureChanged(now, { tenure, checksFencing });
  }

  #duePromiseRequests(now: Instant): readonly OutgoingPromiseRequest[] {
    const { timing, self, state, rules } = this.#options;
    const lastRequestAt = this.#lastRequestAt;
    if (
      lastRequestAt !== undefined &&
      now - lastRequestAt < timing.promiseRequestInterval
    ) return [];
    this.#lastRequestAt = now;
    const enginesByPeer = new Map<
      NodeId,
      PromiseRequest["engines"][number][]
    >();
    for (const engine of this.#authority.controlledEngines) {
      const tenure = state.tenures.tenureOf(engine);
      if (tenure === undefined) continue;
      const peers = rules.requiredPromisers(
        tenure.successors,
        this.#recordTracker.proposedSuccessors(engine),
      );
      for (const peer of peers) {
        const peerEngines = enginesByPeer.get(peer) ?? [];
        peerEngines.push({ engine, tenure: tenure.offset });
        enginesByPeer.set(peer, peerEngines);
      }
    }
    const { node, incarnation } = self;
    return [...enginesByPeer].map(([to, engines]) => ({
      to,
      request: {
        kind: "ask" as const,
        from: { node, incarnation },
        number: this.#heldPromises.recordRequest(now),
        duration: timing.promise,
        engines,
      },
    }));
  }
}
