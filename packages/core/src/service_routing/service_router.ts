import type { Target } from "../configuration/mod.ts";
import {
  type AttemptNumber,
  type Duration,
  type Failure,
  type Instant,
  type RequestId,
} from "../shared/mod.ts";
import {
  attemptsFailure,
  noServerFailure,
  overloadFailure,
} from "./call_failures.ts";
import { AttemptLedger } from "./attempt_ledger.ts";
import { expectedWait, longestWait, waitsUntil } from "./call_waiting.ts";
import { HedgePlan } from "./hedge_plan.ts";
import { LatencyWindow } from "./latency_window.ts";
import { ejectIfOutlier } from "./outlier_ejection.ts";
import { PendingCall } from "./pending_call.ts";
import { MOST_ATTEMPTS, RetryRule } from "./retry_rule.ts";
import type { ServerChooser } from "./server_choice.ts";
import { ServerSet } from "./server_set.ts";
import {
  type AttemptReference,
  type AttemptResult,
  isGoodAnswer,
  isServerFault,
  type RoutedCall,
  type ServiceOrder,
  type ServiceServerView,
} from "./service_call.ts";
import type { ServiceRouterParts } from "./service_router_parts.ts";
import type { ServiceServer } from "./service_server.ts";
import { ServiceOrders } from "./service_orders.ts";
import { type ServiceTerms, serviceTerms } from "./service_terms.ts";
import { WaitingCalls } from "./waiting_calls.ts";

/**
 * Routes the calls of one service: which server gets each, when another
 * attempt is made, and which calls are refused.
 */
export class ServiceRouter {
  readonly #parts: ServiceRouterParts;
  readonly #chooser: ServerChooser;
  readonly #servers: ServerSet;
  readonly #calls = new Map<RequestId, PendingCall>();
  readonly #retries: RetryRule;
  readonly #hedges = new HedgePlan();
  readonly #latencies = new LatencyWindow();
  readonly #attempts = new AttemptLedger(this.#latencies);
  readonly #waiting = new WaitingCalls();
  readonly #orders = new ServiceOrders();
  #terms: ServiceTerms = serviceTerms(undefined);

  /** @param parts The service, where this node is, and the policy. */
  constructor(parts: ServiceRouterParts) {
    this.#parts = parts;
    this.#chooser = parts.policy.chooser();
    this.#servers = new ServerSet(parts.policy.limit);
    this.#retries = new RetryRule(parts.policy, this.#servers);
  }

  /** How many calls have no answer yet. */
  get pending(): number {
    return this.#calls.size;
  }

  /** The servers as this node knows them, the leaving ones too. */
  get servers(): readonly ServiceServer[] {
    return this.#servers.all;
  }

  /**
   * Takes the list's latest word on the servers.
   * @param now The present time.
   * @param views The servers.
   */
  updateServers(now: Instant, views: readonly ServiceServerView[]): void {
    this.#servers.update(now, views);
  }

  /**
   * Takes the service's target; calls that are pending keep theirs.
   * @param target The target in force, where there is one.
   */
  setTarget(target: Target | undefined): void {
    this.#terms = serviceTerms(target);
  }

  /**
   * Takes a call.
   * @param now The present time.
   * @param routed The call.
   */
  submit(now: Instant, routed: RoutedCall): void {
    const call = new PendingCall(routed, now, this.#terms);
    this.#calls.set(call.id, call);
    this.#retries.earn();
    this.#hedges.earn();
    const wait = this.#expectedWait(now);
    if (wait > longestWait(call, this.#latencies.likelyLongest)) {
      this.#refuse(call, wait);
      return;
    }
    this.#waiting.add(call);
  }

  /**
   * Forgets a call whose caller has left. Attempts that may be repeated are
   * given up; another that has begun is left to finish.
   * @param id The call.
   */
  cancel(id: RequestId): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    if (call.repeatable) this.#orders.abandon(call);
    this.#forget(call);
  }

  /**
   * Takes note of an attempt's end. Each dispatched attempt ends once, also
   * those that were abandoned.
   * @param now The present time.
   * @param reference The attempt.
   * @param result How it ended.
   */
  attemptEnded(
    now: Instant,
    reference: AttemptReference,
    result: AttemptResult,
  ): void {
    const target = this.#terms.answerWithin;
    const server = this.#attempts.end(now, reference, { result, target });
    if (server === undefined) return;
    if (isServerFault(result) && this.#parts.policy.ejection) {
      ejectIfOutlier(now, server, this.#servers.all);
    }
    const call = this.#calls.get(reference.call);
    if (call === undefined) return;
    call.end(reference.attempt, result);
    this.#continue(now, call, { attempt: reference.attempt, result });
  }

  /**
   * Decides what to do now.
   * @param now The present time.
   * @returns The orders, in the order in which to carry them out.
   */
  decide(now: Instant): readonly ServiceOrder[] {
    this.#servers.readmit(now);
    this.#expireWaiting(now);
    this.#dispatchWaiting(now);
    this.#dispatchHedges(now);
    return this.#orders.take();
  }

  /**
   * Tells when a decision may change though nothing happens before.
   * @returns The time to decide again, or nothing.
   */
  nextWake(): Instant | undefined {
    const longest = this.#latencies.likelyLongest;
    const times: number[] = [];
    for (const call of this.#waiting) times.push(waitsUntil(call, longest));
    const hedge = this.#hedges.nextDue();
    if (hedge !== undefined) times.push(hedge);
    const readmission = this.#servers.nextReadmission();
    if (readmission !== undefined && this.#waiting.size > 0) {
      times.push(readmission);
    }
    if (times.length === 0) return undefined;
    return Math.min(...times) as Instant;
  }

  #continue(
    now: Instant,
    call: PendingCall,
    ended: { readonly attempt: AttemptNumber; readonly result: AttemptResult },
  ): void {
    const { attempt, result } = ended;
    if (isGoodAnswer(result)) {
      this.#answer(call, attempt);
      return;
    }
    if (call.inFlight.size > 0) return;
    if (this.#retries.mayRetry(now, call, result)) {
      this.#waiting.add(call);
      return;
    }
    this.#finishWithoutGoodAnswer(call);
  }

  #finishWithoutGoodAnswer(call: PendingCall): void {
    if (call.lastAnswered !== undefined) {
      this.#answer(call, call.lastAnswered);
      return;
    }
    this.#fail(call, attemptsFailure(this.#parts.service, call));
  }

  #expireWaiting(now: Instant): void {
    const longest = this.#latencies.likelyLongest;
    for (const call of [...this.#waiting]) {
      if (waitsUntil(call, longest) > now) continue;
      if (call.attempts > 0) this.#finishWithoutGoodAnswer(call);
      else if (!this.#servers.hasPlace(now)) {
        this.#refuse(call, this.#expectedWait(now));
      }
    }
  }

  #dispatchWaiting(now: Instant): void {
    for (const call of [...this.#waiting]) {
      const server = this.#choose(now, call);
      if (server === undefined) {
        if (!this.#servers.anyEligible(now)) this.#failWaiting();
        return;
      }
      this.#waiting.remove(call);
      this.#dispatch(now, call, server);
    }
  }

  #failWaiting(): void {
    for (const call of [...this.#waiting]) {
      if (call.attempts > 0) this.#finishWithoutGoodAnswer(call);
      else this.#fail(call, noServerFailure(this.#parts.service, call));
    }
  }

  #dispatchHedges(now: Instant): void {
    for (const id of this.#hedges.takeDue(now)) {
      const call = this.#calls.get(id);
      if (call?.inFlight.size !== 1 || call.attempts >= MOST_ATTEMPTS) continue;
      const server = this.#choose(now, call);
      if (server === undefined || call.tried.has(server.id)) continue;
      if (!this.#hedges.allows(this.#servers.capacity(now))) continue;
      this.#dispatch(now, call, server);
    }
  }

  #choose(now: Instant, call: PendingCall): ServiceServer | undefined {
    return this.#chooser.choose(now, {
      servers: this.#servers.all,
      failureDomain: this.#parts.failureDomain,
      tried: call.tried,
      unknownLatency: this.#latencies.typical,
      random: this.#parts.random,
    });
  }

  #dispatch(now: Instant, call: PendingCall, server: ServiceServer): void {
    const attempt = call.dispatch(server.id);
    this.#attempts.begin(now, { call: call.id, attempt }, server);
    this.#orders.dispatch(now, call, { attempt, server: server.id });
    const mayHedge = this.#parts.policy.hedging && call.repeatable;
    if (mayHedge && call.attempts === 1) {
      this.#hedges.plan(now, call.id, this.#latencies);
    }
  }

  #answer(call: PendingCall, attempt: AttemptNumber): void {
    this.#orders.abandon(call);
    this.#forget(call);
    this.#orders.answer(call, attempt);
  }

  #refuse(call: PendingCall, wait: Duration): void {
    this.#fail(call, overloadFailure(this.#parts.service, call, wait));
  }

  #fail(call: PendingCall, failure: Failure): void {
    this.#forget(call);
    this.#orders.fail(call, failure);
  }

  #forget(call: PendingCall): void {
    this.#calls.delete(call.id);
    this.#hedges.forget(call.id);
    this.#waiting.remove(call);
  }

  #expectedWait(now: Instant): Duration {
    return expectedWait({
      ahead: this.#waiting.size,
      limit: this.#servers.capacity(now).limit,
      typicalLatency: this.#latencies.typical,
    });
  }
}
