import {
  type AdapterKey,
  type Instant,
  later,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

const FIRST_WAIT = milliseconds(100);
const LONGEST_WAIT = seconds(30);
const ENGINE_FAILURES_TOLERATED = 5;
const REMEMBERED_ADAPTERS = 1_024;

interface Failing {
  readonly failures: number;
  readonly until: Instant;
}

/**
 * Spaces out loads that fail: those of one adapter, and those of an engine
 * whose loads fail one after another. The waits double up to a limit.
 */
export class LoadBackoff {
  readonly #adapters = new Map<AdapterKey, Failing>();
  #engine: Failing | undefined;

  /**
   * Takes note of a failed load.
   * @param now The present time.
   * @param key The adapter.
   */
  failed(now: Instant, key: AdapterKey): void {
    const adapter = nextFailure(now, this.#adapters.get(key));
    this.#adapters.delete(key);
    this.#adapters.set(key, adapter);
    this.#forgetOldest();
    const failures = (this.#engine?.failures ?? 0) + 1;
    const excess = failures - ENGINE_FAILURES_TOLERATED;
    const until = excess > 0 ? later(now, waitAfter(excess)) : now;
    this.#engine = { failures, until };
  }

  /**
   * Takes note of a load that succeeded.
   * @param key The adapter.
   */
  succeeded(key: AdapterKey): void {
    this.#adapters.delete(key);
    this.#engine = undefined;
  }

  /**
   * Tells when an adapter may be loaded.
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
    if (this.#adapters.size <= REMEMBERED_ADAPTERS) return;
    const oldest = this.#adapters.keys().next();
    if (oldest.done !== true) this.#adapters.delete(oldest.value);
  }
}

function nextFailure(now: Instant, before: Failing | undefined): Failing {
  const failures = (before?.failures ?? 0) + 1;
  return { failures, until: later(now, waitAfter(failures)) };
}

function waitAfter(failures: number): typeof FIRST_WAIT {
  return milliseconds(
    Math.min(LONGEST_WAIT, FIRST_WAIT * 2 ** (failures - 1)),
  );
}
