import type { Target } from "../configuration/mod.ts";
import {
  type AttemptNumber,
  type Duration,
  type Failure,
  type FailureDomainId,
  type Instant,
  milliseconds,
  type RandomSource,
  type RequestId,
  type ServiceId,
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
import { AttemptBudget } from "./attempt_budget.ts";
import type { ServerChooser } from "./server_choice.ts";
import { ServerSet } from "./server_set.ts";
import {
  type AttemptReference,
  type AttemptResult,
  isOverload,
  isProvenNotRun,
  isServerFault,
  type RoutedCall,
  type ServiceOrder,
  type ServiceServerView,
} from "./service_call.ts";
import type { ServicePolicy } from "./service_policy.ts";
import type { ServiceServer } from "./service_server.ts";
import { type ServiceTerms, serviceTerms } from "./service_terms.ts";
import { WaitingCalls } from "./waiting_calls.ts";

/** What a router works with. */
export interface ServiceRouterParts {
  readonly service: ServiceId;
  /** The failure domain of this node. */
  readonly failureDomain: FailureDomainId;
  readonly random: RandomSource;
  readonly policy: ServicePolicy;
}

const RETRY_SHARE = 0.1;
const RETRY_RESERVE = 10;
const MOST_ATTEMPTS = 3;
const TYPICAL_PERCENTILE = 50;
const LIKELY_PERCENTILE = 95;

/**
 * Routes the calls of one service: which server gets each, when another
 * attempt is made, and which calls are refused.
 */
export class ServiceRouter {
  readonly #parts: ServiceRouterParts;
  readonly #chooser: ServerChooser;
  readonly #servers: ServerSet;
  readonly #calls = new Map<RequestId, PendingCall>();
  readonly #retries = new AttemptBudget(RETRY_SHARE, RETRY_RESERVE);
  readonly #hedges = new HedgePlan();
  readonly #latencies = new LatencyWindow();
  readonly #attempts = new AttemptLedger(this.#latencies);
  readonly #waiting = new WaitingCalls();
  #orders: ServiceOrder[] = [];
  #terms: ServiceTerms = serviceTerms(undefined);

  /** @param parts The service, where this node is, and the policy. */
  constructor(parts: ServiceRouterParts) {
    this.#parts = parts;
    this.#chooser = parts.policy.chooser();
    this.#servers = new ServerSet(parts.policy.limit);
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
    if (wait > longestWait(call, this.#likelyLongest())) {
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
    if (call.repeatable) this.#abandonAttempts(call);
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
    const orders = this.#orders;
    this.#orders = [];
    return orders;
  }

  /**
   * Tells when a decision may change though nothing happens before.
   * @returns The time to decide again, or nothing.
   */
  nextWake(): Instant | undefined {
    const longest = this.#likelyLongest();
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
    const isGood = !isServerFault(result) && !isOverload(result) &&
      result.kind === "answered";
    if (isGood) {
      this.#answer(call, attempt);
      return;
    }
    if (call.inFlight.size > 0) return;
    if (this.#mayRetry(now, call, result)) {
      this.#waiting.add(call);
      return;
    }
    this.#finishWithoutGoodAnswer(call);
  }

  #mayRetry(now: Instant, call: PendingCall, result: AttemptResult): boolean {
    const isSafe = call.repeatable || isProvenNotRun(result);
    if (!isSafe || !this.#parts.policy.retries) return false;
    if (call.attempts >= MOST_ATTEMPTS || call.deadline <= now) return false;
    return this.#servers.anyEligible(now) && this.#retries.spend();
  }

  #finishWithoutGoodAnswer(call: PendingCall): void {
    if (call.lastAnswered !== undefined) {
      this.#answer(call, call.lastAnswered);
      return;
    }
    this.#fail(call, attemptsFailure(this.#parts.service, call));
  }

  #expireWaiting(now: Instant): void {
    const longest = this.#likelyLongest();
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
      unknownLatency: this.#typicalLatency(),
      random: this.#parts.random,
    });
  }

  #dispatch(now: Instant, call: PendingCall, server: ServiceServer): void {
    const attempt = call.dispatch(server.id);
    const reference = { call: call.id, attempt };
    this.#attempts.begin(now, reference, server);
    const timeout = milliseconds(Math.max(1, call.deadline - now));
    this.#orders.push({
      kind: "dispatch",
      ...reference,
      server: server.id,
      timeout,
    });
    const mayHedge = this.#parts.policy.hedging && call.repeatable;
    if (mayHedge && call.attempts === 1) {
      this.#hedges.plan(now, call.id, this.#latencies);
    }
  }

  #answer(call: PendingCall, attempt: AttemptNumber): void {
    this.#abandonAttempts(call);
    this.#forget(call);
    this.#orders.push({ kind: "answer", call: call.id, attempt });
  }

  #refuse(call: PendingCall, wait: Duration): void {
    this.#fail(call, overloadFailure(this.#parts.service, call, wait));
  }

  #fail(call: PendingCall, failure: Failure): void {
    this.#forget(call);
    this.#orders.push({ kind: "fail", call: call.id, failure });
  }

  #abandonAttempts(call: PendingCall): void {
    for (const attempt of call.inFlight) {
      this.#orders.push({ kind: "abandon", call: call.id, attempt });
    }
  }

  #forget(call: PendingCall): void {
    this.#calls.delete(call.id);
    this.#hedges.forget(call.id);
    this.#waiting.remove(call);
  }

  #typicalLatency(): Duration {
    return this.#latencies.percentile(TYPICAL_PERCENTILE) ?? milliseconds(1);
  }

  /** What nearly all calls stay below, once a server has them. */
  #likelyLongest(): Duration {
    return this.#latencies.percentile(LIKELY_PERCENTILE) ?? milliseconds(1);
  }

  #expectedWait(now: Instant): Duration {
    return expectedWait({
      ahead: this.#waiting.size,
      limit: this.#servers.capacity(now).limit,
      typicalLatency: this.#typicalLatency(),
    });
  }
}
