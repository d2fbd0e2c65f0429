import {
  type AttemptReference,
  type AttemptResult,
  type BackendServerId,
  type Failure,
  type LatencyTarget,
  type RequestId,
  type ServiceOrder,
  ServiceRouter,
  type ServiceRouterOptions,
  type ServiceServerView,
} from "@foxtailwind/core";
import type { ServiceAnswer, ServiceClient } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ServiceRequest } from "../delivery/mod.ts";
import type { PartLogger } from "../logging/part_logger.ts";

/** What a caller's call to a service comes to. */
export type ServiceResult = Result<ServiceAnswer, Failure>;

/** A server, and where to reach it. */
export interface AddressedServer extends ServiceServerView {
  /** IP literal and port. */
  readonly address: string;
}

/** What a channel works with. */
export interface ServiceChannelParts {
  readonly router: ServiceRouterOptions;
  readonly client: ServiceClient;
  readonly clock: SteadyClock;
  readonly logger: PartLogger;
}

interface PendingCall {
  readonly request: ServiceRequest;
  readonly resolve: (result: ServiceResult) => void;
  readonly answers: Map<number, ServiceAnswer>;
  readonly abortControllers: Map<number, AbortController>;
}

/** Carries out the routing decisions for one service. */
export class ServiceChannel {
  readonly #parts: ServiceChannelParts;
  readonly #router: ServiceRouter;
  readonly #pendingCalls = new Map<RequestId, PendingCall>();
  #addresses: ReadonlyMap<BackendServerId, string> = new Map();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts What the channel works with. */
  constructor(parts: ServiceChannelParts) {
    this.#parts = parts;
    this.#router = new ServiceRouter(parts.router);
  }

  /** Whether nothing is in progress. */
  get isIdle(): boolean {
    return this.#pendingCalls.size === 0;
  }

  /**
   * Takes the list's latest word on the servers.
   * @param servers The servers.
   */
  updateServers(servers: readonly AddressedServer[]): void {
    this.#addresses = new Map(
      servers.map(({ server, address }) => [server, address]),
    );
    this.#router.updateServers(this.#parts.clock.now(), servers);
    this.#executeOrders();
  }

  /**
   * Takes the service's target.
   * @param target The target in force.
   */
  setTarget(target: LatencyTarget | undefined): void {
    this.#router.setTarget(target);
  }

  /**
   * Makes a call.
   * @param call Its id, and whether it may be repeated.
   * @param request What to send.
   * @returns The answer, or a failure that tells truthfully if it ran.
   */
  call(
    call: { readonly id: RequestId; readonly repeatable: boolean },
    request: ServiceRequest,
  ): Promise<ServiceResult> {
    return new Promise((resolve) => {
      this.#pendingCalls.set(call.id, {
        request,
        resolve,
        answers: new Map(),
        abortControllers: new Map(),
      });
      this.#router.submit(this.#parts.clock.now(), {
        call: call.id,
        repeatable: call.repeatable,
      });
      this.#executeOrders();
    });
  }

  /**
   * Gives a call up whose caller has left.
   * @param id The call.
   */
  cancel(id: RequestId): void {
    const pending = this.#pendingCalls.get(id);
    if (pending === undefined) return;
    this.#router.cancel(id);
    this.#executeOrders();
    this.#pendingCalls.delete(id);
    pending.resolve(err(callerLeftFailure(pending.request.service)));
  }

  #executeOrders(): void {
    const now = this.#parts.clock.now();
    for (const order of this.#router.decide(now)) this.#execute(order);
    clearTimeout(this.#timer);
    const nextDecisionAt = this.#router.nextDecisionAt();
    if (nextDecisionAt === undefined) return;
    const delay = Math.max(1, Math.ceil(nextDecisionAt - now));
    this.#timer = setTimeout(() => {
      this.#executeOrders();
    }, delay);
  }

  #execute(order: ServiceOrder): void {
    const pending = this.#pendingCalls.get(order.call);
    if (pending === undefined) return;
    switch (order.kind) {
      case "dispatch":
        void this.#send(pending, order);
        break;
      case "abandon":
        pending.abortControllers.get(order.attempt)?.abort();
        break;
      case "answer":
        this.#answer(order.call, pending, order.attempt);
        break;
      case "fail":
        this.#pendingCalls.delete(order.call);
        pending.resolve(err(order.failure));
        break;
    }
  }

  #answer(id: RequestId, pending: PendingCall, attempt: number): void {
    this.#pendingCalls.delete(id);
    const answer = pending.answers.get(attempt);
    pending.resolve(
      answer === undefined
        ? err(missingAnswerFailure(pending.request.service))
        : ok(answer),
    );
  }

  async #send(
    pending: PendingCall,
    order: Extract<ServiceOrder, { readonly kind: "dispatch" }>,
  ): Promise<void> {
    const { request } = pending;
    const abort = new AbortController();
    pending.abortControllers.set(order.attempt, abort);
    const answer = await this.#parts.client.call({
      server: order.server,
      address: this.#addresses.get(order.server) ?? "",
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      timeoutMilliseconds: Math.ceil(order.timeout),
    }, abort.signal);
    if (answer.isOk()) pending.answers.set(order.attempt, answer.value);
    this.#handleAttemptEnd(order, toAttemptResult(answer));
  }

  #handleAttemptEnd(attempt: AttemptReference, result: AttemptResult): void {
    if (result.kind === "failed" && result.failure.reason !== "cancelled") {
      this.#parts.logger.warn("An attempt failed.", {
        request: attempt.call,
        peer: result.failure.peer,
        step: result.failure.step,
        outcome: result.failure.outcome,
      });
    }
    const now = this.#parts.clock.now();
    this.#router.attemptEnded(now, attempt, result);
    this.#executeOrders();
  }
}

function toAttemptResult(answer: ServiceResult): AttemptResult {
  return answer.match<AttemptResult>(
    ({ status, leaving, statedOutcome }) => ({
      kind: "answered",
      status,
      leaving,
      ...(statedOutcome !== undefined && { statedOutcome }),
    }),
    (failure) => ({ kind: "failed", failure }),
  );
}

function callerLeftFailure(service: string): Failure {
  return {
    reason: "cancelled",
    step: "call_service",
    peer: service,
    message: "The caller left before its answer.",
    outcome: "unknown",
  };
}

function missingAnswerFailure(service: string): Failure {
  return {
    reason: "unavailable",
    step: "call_service",
    peer: service,
    message: "The answer is not kept any more.",
    outcome: "unknown",
  };
}
