import {
  type AdapterKey,
  type AdapterReference,
  assertInvariant,
  CLOCK_START,
  type Duration,
  elapsed,
  type EngineId,
  type Instant,
  instant,
  later,
  milliseconds,
  seconds,
} from "../shared/mod.ts";
import { SmoothedDuration } from "../placement/smoothed_duration.ts";
import { expectedPermitWait } from "./expected_permit_wait.ts";
import type { LoadLimits, LoadPermit, LoadWish } from "./load_wish.ts";
import { RateLimit } from "./rate_limit.ts";

/** How long a permit is valid without renewal. */
export const PERMIT_LIFETIME = seconds(10);
const WISH_LIFETIME = seconds(2);
const INITIAL_LOAD_TIME = milliseconds(500);
const LOAD_TIME_SAMPLE_WEIGHT = 0.1;

interface EngineWishes {
  readonly wishes: readonly LoadWish[];
  readonly updatedAt: Instant;
}

/**
 * Grants permits for loads from one weight store, most urgent first, within the
 * store's rate and concurrency limits. One node does this for the whole
 * deployment.
 */
export class LoadPermitIssuer {
  #limits: LoadLimits;
  #rateLimit: RateLimit;
  readonly #grantsFrom: Instant;
  readonly #wishesByEngine = new Map<EngineId, EngineWishes>();
  readonly #permits = new Map<string, LoadPermit>();
  readonly #loadTime = new SmoothedDuration(
    INITIAL_LOAD_TIME,
    LOAD_TIME_SAMPLE_WEIGHT,
  );

  /**
   * @param limits The limits of the weight store.
   * @param grantsFrom The time of the first grant. A new holder has to wait,
   * since permits of the previous holder may still be in use.
   */
  constructor(limits: LoadLimits, grantsFrom: Instant = CLOCK_START) {
    this.#limits = limits;
    this.#rateLimit = new RateLimit(
      limits.loadsPerSecond,
      limits.concurrentLoads,
    );
    this.#grantsFrom = grantsFrom;
  }

  /** The limits of the weight store. */
  get limits(): LoadLimits {
    return this.#limits;
  }

  /** Whether any engine has a wish. */
  get hasWishes(): boolean {
    return this.#wishesByEngine.size > 0;
  }

  /**
   * Applies the limits stated by the store. Changed limits start without a
   * burst.
   * @param now The present time.
   * @param limits The limits.
   */
  changeLimits(now: Instant, limits: LoadLimits): void {
    const areUnchanged =
      limits.loadsPerSecond === this.#limits.loadsPerSecond &&
      limits.concurrentLoads === this.#limits.concurrentLoads;
    if (areUnchanged) return;
    this.#limits = limits;
    this.#rateLimit = new RateLimit(
      limits.loadsPerSecond,
      limits.concurrentLoads,
    );
    for (let taken = 0; taken < limits.concurrentLoads; taken += 1) {
      this.#rateLimit.take(now);
    }
  }

  /** Number of permits in use. */
  get outstanding(): number {
    return this.#permits.size;
  }

  /** The smoothed duration of a load. */
  get loadTime(): Duration {
    return this.#loadTime.value;
  }

  /**
   * Estimates how long a wish waits for its permit.
   * @param ahead Number of wishes that are at least as urgent.
   * @returns The estimate.
   */
  expectedWait(ahead: number): Duration {
    return expectedPermitWait({
      wishesAhead: ahead,
      outstanding: this.#permits.size,
      limits: this.#limits,
      loadTime: this.#loadTime.value,
    });
  }

  /**
   * Replaces the wishes of an engine.
   * @param now The present time.
   * @param engine The engine.
   * @param wishes The most urgent loads that its controller wants.
   */
  setWishes(now: Instant, engine: EngineId, wishes: readonly LoadWish[]): void {
    if (wishes.length === 0) this.#wishesByEngine.delete(engine);
    else this.#wishesByEngine.set(engine, { wishes, updatedAt: now });
  }

  /**
   * Checks whether a permit could be granted now.
   * @param now The present time.
   * @returns Whether the rate and concurrency limits allow it.
   */
  canGrant(now: Instant): boolean {
    this.#removeExpired(now);
    return now >= this.#grantsFrom &&
      this.#permits.size < this.#limits.concurrentLoads &&
      this.#rateLimit.allowedAt(now) <= now;
  }

  /**
   * Finds when the rate limit allows the next permit, regardless of the
   * concurrency limit.
   * @param now The present time.
   * @returns The time.
   */
  nextGrantAt(now: Instant): Instant {
    return instant(Math.max(this.#rateLimit.allowedAt(now), this.#grantsFrom));
  }

  /**
   * Grants the most urgent wish, if the limits allow it.
   * @param now The present time.
   * @returns The permit, or undefined.
   */
  grant(now: Instant): LoadPermit | undefined {
    if (!this.canGrant(now)) return undefined;
    const wish = this.#takeMostUrgent(now);
    if (wish === undefined) return undefined;
    const permit: LoadPermit = {
      engine: wish.engine,
      key: wish.key,
      adapter: wish.adapter,
      grantedAt: now,
      expiresAt: later(now, PERMIT_LIFETIME),
    };
    this.#rateLimit.take(now);
    this.#permits.set(permitKey(wish), permit);
    assertInvariant(
      this.#permits.size <= this.#limits.concurrentLoads,
      "loads_within_weight_store_limits",
      () => `${this.#permits.size} permits are in use.`,
    );
    return permit;
  }

  /**
   * Extends the permit of a load in progress. A load permitted by another
   * holder counts from now on as one of this holder.
   * @param now The present time.
   * @param load The engine and adapter.
   */
  renew(
    now: Instant,
    load: {
      readonly engine: EngineId;
      readonly key: AdapterKey;
      readonly adapter: AdapterReference;
    },
  ): void {
    const known = this.#permits.get(permitKey(load));
    const expiresAt = later(now, PERMIT_LIFETIME);
    const grantedAt = known?.grantedAt ?? now;
    const { engine, key, adapter } = load;
    const permit = { engine, key, adapter, grantedAt, expiresAt };
    this.#permits.set(permitKey(load), permit);
  }

  /**
   * Releases a permit.
   * @param now The present time.
   * @param load The engine and adapter, and whether the adapter was loaded.
   */
  release(
    now: Instant,
    load: {
      readonly engine: EngineId;
      readonly key: AdapterKey;
      readonly loaded: boolean;
    },
  ): void {
    const permit = this.#permits.get(permitKey(load));
    if (permit === undefined) return;
    this.#permits.delete(permitKey(load));
    if (load.loaded) this.#loadTime.observe(elapsed(permit.grantedAt, now));
  }

  /**
   * Removes the wishes and permits of an engine that is gone or restarted.
   * @param engine The engine.
   */
  removeEngine(engine: EngineId): void {
    this.#wishesByEngine.delete(engine);
    for (const [key, permit] of this.#permits) {
      if (permit.engine === engine) this.#permits.delete(key);
    }
  }

  #removeExpired(now: Instant): void {
    for (const [key, permit] of this.#permits) {
      if (permit.expiresAt <= now) this.#permits.delete(key);
    }
  }

  #takeMostUrgent(now: Instant): LoadWish | undefined {
    const oldest = instant(now - WISH_LIFETIME);
    let best: LoadWish | undefined;
    for (const [engine, entry] of this.#wishesByEngine) {
      if (entry.updatedAt < oldest) {
        this.#wishesByEngine.delete(engine);
        continue;
      }
      for (const wish of entry.wishes) {
        if (this.#permits.has(permitKey(wish))) continue;
        if (best === undefined || wish.urgency > best.urgency) best = wish;
      }
    }
    if (best !== undefined) this.#removeWish(best);
    return best;
  }

  #removeWish(wish: LoadWish): void {
    const entry = this.#wishesByEngine.get(wish.engine);
    if (entry === undefined) return;
    const wishes = entry.wishes.filter((other) => other.key !== wish.key);
    if (wishes.length === 0) this.#wishesByEngine.delete(wish.engine);
    else this.#wishesByEngine.set(wish.engine, { ...entry, wishes });
  }
}

function permitKey(
  load: { readonly engine: EngineId; readonly key: AdapterKey },
): string {
  return `${load.engine}/${load.key}`;
}
