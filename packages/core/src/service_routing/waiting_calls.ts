import type { RequestId } from "../shared/mod.ts";
import type { PendingCall } from "./pending_call.ts";

/** Calls that wait for a place at a server, further attempts first. */
export class WaitingCalls {
  readonly #again = new Map<RequestId, PendingCall>();
  readonly #fresh = new Map<RequestId, PendingCall>();

  /** How many calls wait. */
  get size(): number {
    return this.#again.size + this.#fresh.size;
  }

  /**
   * Adds a call; one that has been attempted goes before those that have not.
   * @param call The call.
   */
  add(call: PendingCall): void {
    const queue = call.attempts > 0 ? this.#again : this.#fresh;
    queue.set(call.id, call);
  }

  /**
   * Removes a call.
   * @param call The call.
   */
  remove(call: PendingCall): void {
    this.#again.delete(call.id);
    this.#fresh.delete(call.id);
  }

  /**
   * Looks at the call whose turn it is.
   * @returns The call, or nothing where none waits.
   */
  first(): PendingCall | undefined {
    for (const call of this) return call;
    return undefined;
  }

  /** Goes through the calls in their order. */
  *[Symbol.iterator](): IterableIterator<PendingCall> {
    yield* this.#again.values();
    yield* this.#fresh.values();
  }
}
