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
import type { ServiceClient, ServiceResponse } from "@foxtailwind/edges";
import { err, ok, type Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { ServiceRequest } from "../delivery/mod.ts";
import type { ComponentLogger } from "../logging/component_logger.ts";

/** The result of a call to a service. */
export type ServiceResult = Result<ServiceResponse, Failure>;

/** A server and its address. */
export interface AddressedServer extends ServiceServerView {
  /** IP literal and port. */
  readonly address: string;
}

/** The dependencies of a {@link ServiceChannel}. */
export interface ServiceChannelParts {
  readonly router: ServiceRouterOptions;
  readonly client: ServiceClient;
  readonly clock: SteadyClock;
  readonly logger: ComponentLogger;
}

interface PendingCall {
  readonly request: ServiceRequest;
  readonly resolve: (result: ServiceResult) => void;
  readonly answers: Map<number, ServiceResponse>;
  readonly abortControllers: Map<number, AbortController>;
}

/** Executes the routing decisions for one service. */
export class ServiceChannel {
  readonly #parts: ServiceChannelParts;
  readonly #router: ServiceRouter;
  readonly #pendingCalls = new Map<RequestId, PendingCall>();
  #addresses: ReadonlyMap<BackendServerId, string> = new Map();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts The dependencies. */
  constructor(parts: ServiceChannelParts) {
    this.#parts = parts;
    this.#router = new ServiceRouter(parts.router);
  }

  /** Whether no call is in progress. */
  get isIdle(): boolean {
    return this.#pendingCalls.size === 0;
  }

  /**
   * Applies a new server list.
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
   * Sets the service's target.
   * @param target The current target, if any.
   */
  setTarget(target: LatencyTarget | undefined): void {
    this.#router.setTarget(target);
  }

  /**
   * Makes a call.
   * @param call The call's id, and whether it is repeatable.
   * @param request The request to send.
   * @returns The answer, or a failure that states whether the call ran.
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
   * Cancels a call whose caller has disconnected.
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
      this.#parts.logger.warn("An attempt of a service call failed.", {
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
