import type { LatencyTarget } from "../configuration/mod.ts";
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
import { AttemptTracker } from "./attempt_tracker.ts";
import { expectedWait, maximumWait, waitDeadline } from "./queue_wait.ts";
import { HedgeScheduler } from "./hedge_scheduler.ts";
import { LatencyWindow } from "./latency_window.ts";
import { ejectIfOutlier } from "./outlier_ejection.ts";
import { PendingCall } from "./pending_call.ts";
import { MAXIMUM_ATTEMPTS, RetryRule } from "./retry_rule.ts";
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
import type { ServiceRouterOptions } from "./service_router_options.ts";
import type { ServiceServer } from "./service_server.ts";
import { ServiceOrderQueue } from "./service_order_queue.ts";
import { type CallTimeLimits, callTimeLimits } from "./call_time_limits.ts";
import { CallQueue } from "./call_queue.ts";

/**
 * Routes the calls of one service: chooses servers, decides on further
 * attempts, and refuses calls under overload.
 */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #chooser: ServerChooser;
  readonly #servers: ServerSet;
  readonly #pendingCalls = new Map<RequestId, PendingCall>();
  readonly #retries: RetryRule;
  readonly #hedges = new HedgeScheduler();
  readonly #latencies = new LatencyWindow();
  readonly #attemptTracker = new AttemptTracker(this.#latencies);
  readonly #waiting = new CallQueue();
  readonly #orders = new ServiceOrderQueue();
  #timeLimits: CallTimeLimits = callTimeLimits(undefined);

  /** @param options The service, this node's failure domain, and the policy. */
  constructor(options: ServiceRouterOptions) {
    this.#options = options;
    this.#chooser = options.policy.chooser();
    this.#servers = new ServerSet(options.policy.limit);
    this.#retries = new RetryRule(options.policy, this.#servers);
  }

  /** Number of calls without an answer. */
  get pending(): number {
    return this.#pendingCalls.size;
  }

  /** All known servers, including leaving ones. */
  get servers(): readonly ServiceServer[] {
    return this.#servers.all;
  }

  /**
   * Applies a new server list.
   * @param now The present time.
   * @param views The servers.
   */
  updateServers(now: Instant, views: readonly ServiceServerView[]): void {
    this.#servers.update(now, views);
  }

  /**
   * Sets the service's target. Pending calls keep their limits.
   * @param target The current target, if any.
   */
  setTarget(target: LatencyTarget | undefined): void {
    this.#timeLimits = callTimeLimits(target);
  }

  /**
   * Accepts a call, or refuses it if it would wait too long.
   * @param now The present time.
   * @param routed The call.
   */
  submit(now: Instant, routed: RoutedCall): void {
    const call = new PendingCall(routed, now, this.#timeLimits);
    this.#pendingCalls.set(call.id, call);
    this.#retries.addCall();
    this.#hedges.addCall();
    const wait = this.#expectedWait(now);
    if (wait > maximumWait(call, this.#latencies.percentile95)) {
      this.#refuse(call, wait);
      return;
    }
    this.#waiting.add(call);
  }

  /**
   * Removes a call whose caller has disconnected. The attempts of a repeatable
   * call are abandoned; those of any other call are left to finish.
   * @param id The call.
   */
  cancel(id: RequestId): void {
    const call = this.#pendingCalls.get(id);
    if (call === undefined) return;
    if (call.repeatable) this.#orders.abandon(call);
    this.#remove(call);
  }

  /**
   * Handles the end of an attempt. Every dispatched attempt ends exactly once,
   * including abandoned ones.
   * @param now The present time.
   * @param reference The attempt.
   * @param result How it ended.
   */
  attemptEnded(
    now: Instant,
    reference: AttemptReference,
    result: AttemptResult,
  ): void {
    const target = this.#timeLimits.targetLatency;
    const server = this.#attemptTracker.end(now, reference, { result, target });
    if (server === undefined) return;
    if (isServerFault(result) && this.#options.policy.ejection) {
      ejectIfOutlier(now, server, this.#servers.all);
    }
    const call = this.#pendingCalls.get(reference.call);
    if (call === undefined) return;
    call.end(reference.attempt, result);
    this.#afterAttempt(now, call, { attempt: reference.attempt, result });
  }

  /**
   * Decides which orders are due now.
   * @param now The present time.
   * @returns The orders, in the order of execution.
   */
  decide(now: Instant): readonly ServiceOrder[] {
    this.#servers.readmit(now);
    this.#expireWaiting(now);
    this.#dispatchWaiting(now);
    this.#dispatchHedges(now);
    return this.#orders.drain();
  }

  /**
   * Finds when to decide again if no event occurs before.
   * @returns The time, or undefined if no decision is pending.
   */
  nextDecisionAt(): Instant | undefined {
    const highLatency = this.#latencies.percentile95;
    const times: number[] = [];
    for (const call of this.#waiting) {
      times.push(waitDeadline(call, highLatency));
    }
    const hedge = this.#hedges.nextDue();
    if (hedge !== undefined) times.push(hedge);
    const readmission = this.#servers.nextReadmission();
    if (readmission !== undefined && this.#waiting.size > 0) {
      times.push(readmission);
    }
    if (times.length === 0) return undefined;
    return Math.min(...times) as Instant;
  }

  #afterAttempt(
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
    if (this.#retries.tryRetry(now, call, result)) {
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
    this.#fail(call, attemptsFailure(this.#options.service, call));
  }

  #expireWaiting(now: Instant): void {
    const highLatency = this.#latencies.percentile95;
    for (const call of [...this.#waiting]) {
      if (waitDeadline(call, highLatency) > now) continue;
      if (call.attempts > 0) this.#finishWithoutGoodAnswer(call);
      else if (!this.#servers.hasAvailable(now)) {
        this.#refuse(call, this.#expectedWait(now));
      }
    }
  }

  #dispatchWaiting(now: Instant): void {
    for (const call of [...this.#waiting]) {
      const server = this.#choose(now, call);
      if (server === undefined) {
        if (!this.#servers.anyEligible(now)) this.#failAllWaiting();
        return;
      }
      this.#waiting.remove(call);
      this.#dispatch(now, call, server);
    }
  }

  #failAllWaiting(): void {
    for (const call of [...this.#waiting]) {
      if (call.attempts > 0) this.#finishWithoutGoodAnswer(call);
      else this.#fail(call, noServerFailure(this.#options.service, call));
    }
  }

  #dispatchHedges(now: Instant): void {
    for (const id of this.#hedges.takeDue(now)) {
      const call = this.#pendingCalls.get(id);
      if (call?.inFlight.size !== 1 || call.attempts >= MAXIMUM_ATTEMPTS) {
        continue;
      }
      const server = this.#choose(now, call);
      if (server === undefined || call.tried.has(server.id)) continue;
      if (!this.#hedges.tryAcquire(this.#servers.capacity(now))) continue;
      this.#dispatch(now, call, server);
    }
  }

  #choose(now: Instant, call: PendingCall): ServiceServer | undefined {
    return this.#chooser.choose(now, {
      servers: this.#servers.all,
      failureDomain: this.#options.failureDomain,
      tried: call.tried,
      unknownLatency: this.#latencies.median,
      random: this.#options.random,
    });
  }

  #dispatch(now: Instant, call: PendingCall, server: ServiceServer): void {
    const attempt = call.dispatch(server.id);
    this.#attemptTracker.begin(now, { call: call.id, attempt }, server);
    this.#orders.dispatch(now, call, { attempt, server: server.id });
    const mayHedge = this.#options.policy.hedging && call.repeatable;
    if (mayHedge && call.attempts === 1) {
      this.#hedges.schedule(now, call.id, this.#latencies);
    }
  }

  #answer(call: PendingCall, attempt: AttemptNumber): void {
    this.#orders.abandon(call);
    this.#remove(call);
    this.#orders.answer(call, attempt);
  }

  #refuse(call: PendingCall, wait: Duration): void {
    this.#fail(call, overloadFailure(this.#options.service, call, wait));
  }

  #fail(call: PendingCall, failure: Failure): void {
    this.#remove(call);
    this.#orders.fail(call, failure);
  }

  #remove(call: PendingCall): void {
    this.#pendingCalls.delete(call.id);
    this.#hedges.cancel(call.id);
    this.#waiting.remove(call);
  }

  #expectedWait(now: Instant): Duration {
    return expectedWait({
      queued: this.#waiting.size,
      concurrencyLimit: this.#servers.capacity(now).limit,
      medianLatency: this.#latencies.median,
    });
  }
}
