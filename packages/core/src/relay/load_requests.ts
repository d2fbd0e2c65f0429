import { type Instant, instant } from "../shared/mod.ts";
import {
  type AdapterName,
  adapterNameKey,
  type LoadRequest,
  type LoadUrgency,
} from "./adapter_slot.ts";

/**
 * The urgency of requests that wait without end; among themselves they are
 * loaded in order of arrival.
 */
export const UNLIMITED_WAIT: LoadUrgency = {
  neededBy: instant(Infinity),
  priority: 0,
};

/**
 * How much earlier a request of one priority counts as needed than one of the
 * next. Finite, so that the last ones are loaded too.
 */
const PRIORITY_STEP_MILLISECONDS = 1_000;

/** The adapters that are requested and not yet ordered, most urgent first. */
export class LoadRequests {
  readonly #requests = new Map<string, LoadRequest>();

  /** The number of requested adapters. */
  get size(): number {
    return this.#requests.size;
  }

  /** The requested adapters, most urgent first. */
  get all(): readonly LoadRequest[] {
    return [...this.#requests.values()].sort(compareUrgency);
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
   * Requests an adapter. A repeated request raises the minimum version; the
   * most urgent one decides the order, and the one that waits longest how long
   * the adapter is wanted.
   * @param now The present time.
   * @param name The adapter.
   * @param minimumVersion The oldest version allowed.
   * @param urgency How urgently it is needed.
   */
  add(
    now: Instant,
    name: AdapterName,
    minimumVersion: number,
    { neededBy, priority }: LoadUrgency = UNLIMITED_WAIT,
  ): void {
    const key = adapterNameKey(name);
    const known = this.#requests.get(key);
    const dueAt = instant(neededBy + priority * PRIORITY_STEP_MILLISECONDS);
    this.#requests.set(key, {
      ...name,
      key,
      minimumVersion: Math.max(minimumVersion, known?.minimumVersion ?? 0),
      since: known?.since ?? now,
      dueAt: known !== undefined && known.dueAt < dueAt ? known.dueAt : dueAt,
      wantedUntil: known !== undefined && known.wantedUntil > neededBy
        ? known.wantedUntil
        : neededBy,
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

function compareUrgency(left: LoadRequest, right: LoadRequest): number {
  return left.dueAt === right.dueAt
    ? left.since - right.since
    : left.dueAt - right.dueAt;
}
