import {
  type AttemptNumber,
  type BackendServerId,
  type Failure,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";
import type { ServiceOrder } from "./service_call.ts";

/** Collects the orders of a router until they are executed. */
export class ServiceOrderQueue {
  #orders: ServiceOrder[] = [];

  /**
   * Sends a call to a server, with the call's remaining time as timeout.
   * @param now The present time.
   * @param call The call.
   * @param target The attempt and its server.
   */
  dispatch(
    now: Instant,
    call: PendingCall,
    target: {
      readonly attempt: AttemptNumber;
      readonly server: BackendServerId;
    },
  ): void {
    const timeout = milliseconds(Math.max(1, call.deadline - now));
    this.#orders.push({ kind: "dispatch", call: call.id, ...target, timeout });
  }

  /**
   * Forwards an attempt's answer to the caller.
   * @param call The call.
   * @param attempt The attempt.
   */
  answer(call: PendingCall, attempt: AttemptNumber): void {
    this.#orders.push({ kind: "answer", call: call.id, attempt });
  }

  /**
   * Fails a call.
   * @param call The call.
   * @param failure The failure returned to the caller.
   */
  fail(call: PendingCall, failure: Failure): void {
    this.#orders.push({ kind: "fail", call: call.id, failure });
  }

  /**
   * Abandons the attempts of a call that have not ended.
   * @param call The call.
   */
  abandon(call: PendingCall): void {
    for (const attempt of call.inFlight) {
      this.#orders.push({ kind: "abandon", call: call.id, attempt });
    }
  }

  /**
   * Removes and returns the orders, in the order of execution.
   * @returns The orders since the last call.
   */
  drain(): readonly ServiceOrder[] {
    const orders = this.#orders;
    this.#orders = [];
    return orders;
  }
}
