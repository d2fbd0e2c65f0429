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
import { failed, type ModelServer } from "./model_server.ts";
import type { Timeline } from "./timeline.ts";

/** What a call came to. */
export type CallEnd =
  | { readonly kind: "answered"; readonly status: number }
  | { readonly kind: "failed"; readonly failure: Failure };

/** What a node works with. */
export interface ModelNodeParts {
  readonly timeline: Timeline;
  readonly failureDomain: FailureDomainId;
  readonly random: RandomSource;
  readonly policy: ServicePolicy;
  readonly target: LatencyTarget;
  readonly servers: ReadonlyMap<BackendServerId, ModelServer>;
}

interface HeldCall {
  readonly onEnd: (end: CallEnd) => void;
  readonly results: Map<number, AttemptResult>;
}

const SAME_DOMAIN_MILLISECONDS = 0.1;
const OTHER_DOMAIN_MILLISECONDS = 1.2;
const SHORTEST_WAKE_MILLISECONDS = 0.01;

/** A node that carries its router's orders out in virtual time. */
export class ModelNode {
  readonly router: ServiceRouter;
  readonly #parts: ModelNodeParts;
  readonly #held = new Map<RequestId, HeldCall>();
  readonly #open = new Set<string>();
  #wakeAt: Instant | undefined;

  /** @param parts What the node works with. */
  constructor(parts: ModelNodeParts) {
    this.#parts = parts;
    const { failureDomain, random, policy } = parts;
    this.router = new ServiceRouter({
      service: serviceId("booking"),
      failureDomain,
      random,
      policy,
    });
    this.router.setTarget(parts.target);
  }

  /** How many attempts have not ended. */
  get openAttempts(): number {
    return this.#open.size;
  }

  /**
   * Takes the list's latest word.
   * @param views The servers.
   */
  updateServers(views: readonly ServiceServerView[]): void {
    this.router.updateServers(this.#parts.timeline.now, views);
    this.#act();
  }

  /**
   * Takes a call.
   * @param call The call, and whether it may be repeated.
   * @param onEnd Gets what it came to.
   */
  submit(
    call: { readonly id: RequestId; readonly repeatable: boolean },
    onEnd: (end: CallEnd) => void,
  ): void {
    this.#held.set(call.id, { onEnd, results: new Map() });
    this.router.submit(this.#parts.timeline.now, {
      call: call.id,
      repeatable: call.repeatable,
    });
    this.#act();
  }

  /**
   * Gives a call up whose caller has left.
   * @param id The call.
   */
  cancel(id: RequestId): void {
    this.router.cancel(id);
    this.#act();
    this.#held.delete(id);
  }

  #act(): void {
    const { timeline } = this.#parts;
    for (const order of this.router.decide(timeline.now)) this.#carryOut(order);
    this.#planWake();
  }

  #planWake(): void {
    const { timeline } = this.#parts;
    const wake = this.router.nextDecisionAt();
    if (wake === undefined) return;
    if (this.#wakeAt !== undefined && this.#wakeAt <= wake) return;
    this.#wakeAt = wake;
    timeline.after(
      Math.max(SHORTEST_WAKE_MILLISECONDS, wake - timeline.now),
      () => {
        if (this.#wakeAt !== wake) return;
        this.#wakeAt = undefined;
        this.#act();
      },
    );
  }

  #carryOut(order: ServiceOrder): void {
    const held = this.#held.get(order.call);
    switch (order.kind) {
      case "dispatch":
        this.#send(order);
        break;
      case "abandon":
        this.#settle(order, failed("cancelled", "unknown"));
        break;
      case "answer": {
        const result = held?.results.get(order.attempt);
        this.#held.delete(order.call);
        if (result?.kind !== "answered") throw new Error("No answer is kept");
        held?.onEnd({ kind: "answered", status: result.status });
        break;
      }
      case "fail":
        this.#held.delete(order.call);
        held?.onEnd({ kind: "failed", failure: order.failure });
        break;
    }
  }

  #send(order: Extract<ServiceOrder, { readonly kind: "dispatch" }>): void {
    const { timeline, servers } = this.#parts;
    this.#open.add(keyOf(order));
    const server = servers.get(order.server);
    const delay = this.#delayTo(server);
    timeline.after(delay, () => {
      server?.receive(order.call, (result) => {
        timeline.after(delay, () => {
          this.#settle(order, result);
        });
      });
    });
    timeline.after(order.timeout, () => {
      this.#settle(order, failed("timeout", "unknown"));
    });
  }

  #settle(attempt: AttemptReference, result: AttemptResult): void {
    if (!this.#open.delete(keyOf(attempt))) return;
    this.#held.get(attempt.call)?.results.set(attempt.attempt, result);
    this.router.attemptEnded(this.#parts.timeline.now, attempt, result);
    this.#act();
  }

  #delayTo(server: ModelServer | undefined): number {
    return server?.size.failureDomain === this.#parts.failureDomain
      ? SAME_DOMAIN_MILLISECONDS
      : OTHER_DOMAIN_MILLISECONDS;
  }
}

function keyOf({ call, attempt }: AttemptReference): string {
  return `${call}/${attempt}`;
}
