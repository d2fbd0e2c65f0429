import {
  type AdapterKey,
  type Instant,
  later,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

const INITIAL_BACKOFF = milliseconds(100);
const MAXIMUM_BACKOFF = seconds(30);
const TOLERATED_ENGINE_FAILURES = 5;
const MAXIMUM_ADAPTERS = 1_024;

interface BackoffState {
  readonly failures: number;
  readonly until: Instant;
}

/**
 * Exponential backoff for failing loads, per adapter, and for the engine as a
 * whole when its loads fail consecutively. Delays double up to a maximum.
 */
export class LoadBackoff {
  readonly #adapters = new Map<AdapterKey, BackoffState>();
  #engine: BackoffState | undefined;

  /**
   * Records a failed load.
   * @param now The present time.
   * @param key The adapter.
   */
  recordFailure(now: Instant, key: AdapterKey): void {
    const adapter = nextBackoff(now, this.#adapters.get(key));
    this.#adapters.delete(key);
    this.#adapters.set(key, adapter);
    this.#forgetOldest();
    const failures = (this.#engine?.failures ?? 0) + 1;
    const excess = failures - TOLERATED_ENGINE_FAILURES;
    const until = excess > 0 ? later(now, backoffAfter(excess)) : now;
    this.#engine = { failures, until };
  }

  /**
   * Records a successful load.
   * @param key The adapter.
   */
  recordSuccess(key: AdapterKey): void {
    this.#adapters.delete(key);
    this.#engine = undefined;
  }

  /**
   * Finds when an adapter may be loaded.
   * @param now The present time.
   * @param key The adapter.
   * @returns The present time, or a later one.
   */
  allowedAt(now: Instant, key: AdapterKey): Instant {
    const adapter = this.#adapters.get(key)?.until ?? now;
    const engine = this.#engine?.until ?? now;
    return Math.max(now, adapter, engine) as Instant;
  }

  #forgetOldest(): void {
    if (this.#adapters.size <= MAXIMUM_ADAPTERS) return;
    const oldest = this.#adapters.keys().next();
    if (oldest.done !== true) this.#adapters.delete(oldest.value);
  }
}

function nextBackoff(
  now: Instant,
  before: BackoffState | undefined,
): BackoffState {
  const failures = (before?.failures ?? 0) + 1;
  return { failures, until: later(now, backoffAfter(failures)) };
}

function backoffAfter(failures: number): typeof INITIAL_BACKOFF {
  return milliseconds(
    Math.min(MAXIMUM_BACKOFF, INITIAL_BACKOFF * 2 ** (failures - 1)),
  );
}
