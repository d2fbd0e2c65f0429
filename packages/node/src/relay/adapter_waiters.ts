import {
  type AdapterName,
  type Instant,
  instant,
  type LoadUrgency,
} from "@foxtailwind/core";
import type { WaitingUse } from "./waiting_use.ts";

/** A request that waits for an adapter. */
export type AdapterWaiter = WaitingUse & { readonly name: AdapterName };

/**
 * Checks whether a request uses an adapter.
 * @param use The request.
 * @returns Whether it does, rather than the base model itself.
 */
export function usesAdapter(use: WaitingUse): use is AdapterWaiter {
  return use.name !== undefined;
}

/** The requests that wait until one engine has loaded their adapters. */
export class AdapterWaiters {
  readonly #waiters = new Set<AdapterWaiter>();

  /** The waiting requests, in order of arrival. */
  get all(): readonly AdapterWaiter[] {
    return [...this.#waiters];
  }

  /** When the first waiting request gives up, if one says so. */
  get nextExpiryAt(): Instant | undefined {
    const times = this.all.flatMap(({ terms }) => terms.waitsUntil ?? []);
    return times.length === 0 ? undefined : instant(Math.min(...times));
  }

  /**
   * Adds a request.
   * @param waiter The request.
   */
  add(waiter: AdapterWaiter): void {
    this.#waiters.add(waiter);
  }

  /**
   * Removes a request.
   * @param waiter The request.
   * @returns Whether it waited for its adapter.
   */
  delete(waiter: WaitingUse): boolean {
    return this.#waiters.delete(waiter as AdapterWaiter);
  }

  /**
   * Checks whether any request waits for an adapter.
   * @param name The adapter.
   * @returns Whether one does.
   */
  has(name: AdapterName): boolean {
    return this.#waitersFor(name).length > 0;
  }

  /**
   * Returns how urgently the waiting requests want an adapter.
   * @param name The adapter, which at least one request waits for.
   * @returns The urgency.
   */
  urgencyOf(name: AdapterName): LoadUrgency {
    const terms = this.#waitersFor(name).map((waiter) => waiter.terms);
    return {
      neededBy: instant(
        Math.max(...terms.map(({ waitsUntil }) => waitsUntil ?? Infinity)),
      ),
      priority: Math.min(...terms.map(({ priority }) => priority)),
    };
  }

  /**
   * Removes the requests whose senders no longer wait.
   * @param now The present time.
   * @returns The requests.
   */
  takeExpired(now: Instant): readonly AdapterWaiter[] {
    const expired = this.all.filter(({ terms: { waitsUntil } }) =>
      waitsUntil !== undefined && waitsUntil <= now
    );
    for (const waiter of expired) this.#waiters.delete(waiter);
    return expired;
  }

  /**
   * Removes the requests that wait for an adapter.
   * @param name The adapter.
   * @returns The requests.
   */
  takeWaitersFor(name: AdapterName): readonly AdapterWaiter[] {
    const taken = this.#waitersFor(name);
    for (const waiter of taken) this.#waiters.delete(waiter);
    return taken;
  }

  #waitersFor({ model, adapter }: AdapterName): readonly AdapterWaiter[] {
    return this.all.filter(({ name }) =>
      name.adapter === adapter && name.model === model
    );
  }
}
