import { type Instant, later, milliseconds } from "../shared/mod.ts";
import { type AdapterName, adapterNameKey } from "./adapter_slot.ts";

/**
 * Delay before an adapter is ordered again after a conflict or an unfinished
 * unload.
 */
const ORDER_RETRY_DELAY = milliseconds(300);

/** The adapters of one engine that are not ordered again for a while. */
export class OrderDeferrals {
  readonly #deferredUntil = new Map<string, Instant>();

  /**
   * Defers further orders of an adapter.
   * @param now The present time.
   * @param name The adapter.
   */
  defer(now: Instant, name: AdapterName): void {
    this.#deferredUntil.set(
      adapterNameKey(name),
      later(now, ORDER_RETRY_DELAY),
    );
  }

  /**
   * Checks whether orders of an adapter are deferred.
   * @param now The present time.
   * @param name The adapter.
   * @returns Whether they are.
   */
  has(now: Instant, name: AdapterName): boolean {
    return (this.#deferredUntil.get(adapterNameKey(name)) ?? 0) > now;
  }
}
