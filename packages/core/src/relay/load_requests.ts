import type { Instant } from "../shared/mod.ts";
import {
  type AdapterName,
  adapterNameKey,
  type LoadRequest,
  type LoadUrgency,
} from "./adapter_slot.ts";

/** The adapters that are requested and not yet ordered, oldest first. */
export class LoadRequests {
  readonly #requests = new Map<string, LoadRequest>();

  /** The number of requested adapters. */
  get size(): number {
    return this.#requests.size;
  }

  /** The requested adapters. */
  get all(): readonly LoadRequest[] {
    return [...this.#requests.values()];
  }

  /**
   * Checks whether an adapter is requested.
   * @param name The adapter.
   * @returns Whether it is requested.
   */
  has(name: AdapterName): boolean {
    return this.#requests.has(adapterNameKey(name));
  }

  /**
   * Requests an adapter, or raises the minimum version of an existing request.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @param urgency How urgently it is wanted.
   */
  add(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
    urgency: LoadUrgency | undefined,
  ): void {
    const key = adapterNameKey(name);
    const known = this.#requests.get(key);
    this.#requests.set(key, {
      ...name,
      key,
      minimumVersion: Math.max(minimumVersion, known?.minimumVersion ?? 0),
      since: known?.since ?? now,
      urgency: urgency ?? known?.urgency,
    });
  }

  /**
   * Removes a request.
   * @param name The adapter.
   */
  delete(name: AdapterName): void {
    this.#requests.delete(adapterNameKey(name));
  }
}
