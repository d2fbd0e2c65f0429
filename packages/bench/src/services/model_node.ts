import {
  type AttemptReference,
  type AttemptResult,
  type BackendServerId,
  type Failure,
  type FailureDomainId,
  type Instant,
  type LatencyTarget,
  type RandomSource,
  type RequestId,
  serviceId,
  type ServiceOrder,
  type ServicePolicy,
  ServiceRouter,
  type ServiceServerView,
} from "@foxtailwind/core";
import { failedAttempt, type ModelServer } from "./model_server.ts";
import type { Timeline } from "./timeline.ts";

/** The outcome of a call. */
export type CallOutcome =
  | { readonly kind: "answered"; readonly status: number }
  | { readonly kind: "failed"; readonly failure: Failure };

/** The dependencies of a node. */
export interface ModelNodeOptions {
  readonly timeline: Timeline;
  readonly failureDomain: FailureDomainId;
  readonly random: RandomSource;
  readonly policy: ServicePolicy;
  readonly target: LatencyTarget;
  readonly servers: ReadonlyMap<BackendServerId, ModelServer>;
}

interface PendingCall {
  readonly onOutcome: (outcome: CallOutcome) => void;
  readonly results: Map<number, AttemptResult>;
}

const SAME_DOMAIN_DELAY_MILLISECONDS = 0.1;
const OTHER_DOMAIN_DELAY_MILLISECONDS = 1.2;
const MIN_WAKE_DELAY_MILLISECONDS = 0.01;

/** A simulated node that executes its router's orders in virtual time. */
export class ModelNode {
  readonly router: ServiceRouter;
  readonly #options: ModelNodeOptions;
  readonly #pendingCalls = new Map<RequestId, PendingCall>();
  readonly #openAttemptKeys = new Set<string>();
  #wakeAt: Instant | undefined;

  /** @param options The dependencies of the node. */
  constructor(options: ModelNodeOptions) {
    this.#options = options;
    const { failureDomain, random, policy } = options;
    this.router = new ServiceRouter({
      service: serviceId("booking"),
      failureDomain,
      random,
      policy,
    });
    this.router.setTarget(options.target);
  }

  /** The number of attempts that have not ended. */
  get openAttempts(): number {
    return this.#openAttemptKeys.size;
  }

  /**
   * Applies the latest server list.
   * @param views The servers on the list.
   */
  updateServers(views: readonly ServiceServerView[]): void {
    this.router.updateServers(this.#options.timeline.now, views);
    this.#executeDecisions();
  }

  /**
   * Submits a call to the router.
   * @param call The call, and whether it may be repeated.
   * @param onOutcome Called with the outcome.
   */
  submit(
    call: { readonly id: RequestId; readonly repeatable: boolean },
    onOutcome: (outcome: CallOutcome) => void,
  ): void {
    this.#pendingCalls.set(call.id, {
      onOutcome,
      results: new Map(),
    });
    this.router.submit(this.#options.timeline.now, {
      call: call.id,
      repeatable: call.repeatable,
    });
    this.#executeDecisions();
  }

  /**
   * Cancels a call whose caller has disconnected.
   * @param id The ID of the call.
   */
  cancel(id: RequestId): void {
    this.router.cancel(id);
    this.#executeDecisions();
    this.#pendingCalls.delete(id);
  }

  #executeDecisions(): void {
    const { timeline } = this.#options;
    for (const order of this.router.decide(timeline.now)) this.#execute(order);
    this.#scheduleWake();
  }

  #scheduleWake(): void {
    const { timeline } = this.#options;
    const wake = this.router.nextDecisionAt();
    if (wake === undefined) return;
    if (this.#wakeAt !== undefined && this.#wakeAt <= wake) return;
    this.#wakeAt = wake;
    timeline.schedule(
      Math.max(MIN_WAKE_DELAY_MILLISECONDS, wake - timeline.now),
      () => {
        if (this.#wakeAt !== wake) return;
        this.#wakeAt = undefined;
        this.#executeDecisions();
      },
    );
  }

  #execute(order: ServiceOrder): void {
    const pendingCall = this.#pendingCalls.get(order.call);
    switch (order.kind) {
      case "dispatch":
        this.#send(order);
        break;
      case "abandon":
        this.#endAttempt(order, failedAttempt("cancelled", "unknown"));
        break;
      case "answer": {
        const result = pendingCall?.results.get(order.attempt);
        this.#pendingCalls.delete(order.call);
        if (result?.kind !== "answered") {
          throw new Error("the answered attempt has no stored response");
        }
        pendingCall?.onOutcome({ kind: "answered", status: result.status });
        break;
      }
      case "fail":
        this.#pendingCalls.delete(order.call);
        pendingCall?.onOutcome({ kind: "failed", failure: order.failure });
        break;
    }
  }

  #send(order: Extract<ServiceOrder, { readonly kind: "dispatch" }>): void {
    const { timeline, servers } = this.#options;
    this.#openAttemptKeys.add(attemptKey(order));
    const server = servers.get(order.server);
    const delay = this.#networkDelayTo(server);
    timeline.schedule(delay, () => {
      server?.receive(order.call, (result) => {
        timeline.schedule(delay, () => {
          this.#endAttempt(order, result);
        });
      });
    });
    timeline.schedule(order.timeout, () => {
      this.#endAttempt(order, failedAttempt("timeout", "unknown"));
    });
  }

  #endAttempt(attempt: AttemptReference, result: AttemptResult): void {
    if (!this.#openAttemptKeys.delete(attemptKey(attempt))) return;
    this.#pendingCalls.get(attempt.call)?.results.set(attempt.attempt, result);
    this.router.attemptEnded(this.#options.timeline.now, attempt, result);
    this.#executeDecisions();
  }

  #networkDelayTo(server: ModelServer | undefined): number {
    return server?.options.failureDomain === this.#options.failureDomain
      ? SAME_DOMAIN_DELAY_MILLISECONDS
      : OTHER_DOMAIN_DELAY_MILLISECONDS;
  }
}

function attemptKey({ call, attempt }: AttemptReference): string {
  return `${call}/${attempt}`;
}
