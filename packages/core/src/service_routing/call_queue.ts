import type { RequestId } from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";

/** Calls that wait for an available server, retries first. */
export class CallQueue {
  readonly #attempted = new Map<RequestId, PendingCall>();
  readonly #unattempted = new Map<RequestId, PendingCall>();

  /** Number of waiting calls. */
  get size(): number {
    return this.#attempted.size + this.#unattempted.size;
  }

  /**
   * Adds a call. Calls that have been attempted precede those that have not.
   * @param call The call.
   */
  add(call: PendingCall): void {
    const queue = call.attempts > 0 ? this.#attempted : this.#unattempted;
    queue.set(call.id, call);
  }

  /**
   * Removes a call.
   * @param call The call.
   */
  remove(call: PendingCall): void {
    this.#attempted.delete(call.id);
    this.#unattempted.delete(call.id);
  }

  /**
   * Returns the next call without removing it.
   * @returns The call, or undefined if the queue is empty.
   */
  first(): PendingCall | undefined {
    for (const call of this) return call;
    return undefined;
  }

  /** Iterates over the calls in queue order. */
  *[Symbol.iterator](): IterableIterator<PendingCall> {
    yield* this.#attempted.values();
    yield* this.#unattempted.values();
  }
}
