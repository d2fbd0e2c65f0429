import {
  type AttemptNumber,
  type BackendServerId,
  type Failure,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";
import type { ServiceOrder } from "./service_call.ts";

/** Collects what a router decides until it is taken to be carried out. */
export class ServiceOrders {
  #orders: ServiceOrder[] = [];

  /**
   * Sends a call to a server, for as long as the call has.
   * @param now The present time.
   * @param call The call.
   * @param to The attempt, and the server that gets it.
   */
  dispatch(
    now: Instant,
    call: PendingCall,
    to: { readonly attempt: AttemptNumber; readonly server: BackendServerId },
  ): void {
    const timeout = milliseconds(Math.max(1, call.deadline - now));
    this.#orders.push({ kind: "dispatch", call: call.id, ...to, timeout });
  }

  /**
   * Passes an attempt's answer on to the caller.
   * @param call The call.
   * @param attempt The attempt.
   */
  answer(call: PendingCall, attempt: AttemptNumber): void {
    this.#orders.push({ kind: "answer", call: call.id, attempt });
  }

  /**
   * Fails a call.
   * @param call The call.
   * @param failure What its caller is told.
   */
  fail(call: PendingCall, failure: Failure): void {
    this.#orders.push({ kind: "fail", call: call.id, failure });
  }

  /**
   * Gives up the attempts at a call that have not ended.
   * @param call The call.
   */
  abandon(call: PendingCall): void {
    for (const attempt of call.inFlight) {
      this.#orders.push({ kind: "abandon", call: call.id, attempt });
    }
  }

  /**
   * Takes out the orders, in the order in which to carry them out.
   * @returns The orders since the last call.
   */
  take(): readonly ServiceOrder[] {
    const orders = this.#orders;
    this.#orders = [];
    return orders;
  }
}
