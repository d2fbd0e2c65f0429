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
import { expectedGrantWait } from "./expected_grant_wait.ts";
import type { LoadLimits, LoadPermit, LoadWish } from "./load_wish.ts";
import { RateLimit } from "./rate_limit.ts";

/** How long a permit lasts whose holder says nothing. */
export const PERMIT_LIFETIME = seconds(10);
const WISH_LIFETIME = seconds(2);
const INITIAL_LOAD_TIME = milliseconds(500);
const NEW_SAMPLE_SHARE = 0.1;

interface EngineWishes {
  readonly wishes: readonly LoadWish[];
  readonly offeredAt: Instant;
}

/**
 * Grants the loads from one weight store, the most urgent first, within the
 * store's rate and concurrency. One node holds it for the whole deployment.
 */
export class LoadPermitLedger {
  #limits: LoadLimits;
  #rate: RateLimit;
  readonly #quietUntil: Instant;
  readonly #offers = new Map<EngineId, EngineWishes>();
  readonly #permits = new Map<string, LoadPermit>();
  readonly #loadTime = new SmoothedDuration(
    INITIAL_LOAD_TIME,
    NEW_SAMPLE_SHARE,
  );

  /**
   * @param limits What the weight store allows.
   * @param quietUntil A new holder grants nothing before, since permits of
   * the holder before may still be in use.
   */
  constructor(limits: LoadLimits, quietUntil: Instant = CLOCK_START) {
    this.#limits = limits;
    this.#rate = new RateLimit(limits.loadsPerSecond, limits.concurrentLoads);
    this.#quietUntil = quietUntil;
  }

  /** What the weight store allows. */
  get limits(): LoadLimits {
    return this.#limits;
  }

  /** Whether any engine has a wish. */
  get hasWishes(): boolean {
    return this.#offers.size > 0;
  }

  /**
   * Takes other limits into force, as the store states them.
   * @param now The present time.
   * @param limits The limits.
   */
  changeLimits(now: Instant, limits: LoadLimits): void {
    const same = limits.loadsPerSecond === this.#limits.loadsPerSecond &&
      limits.concurrentLoads === this.#limits.concurrentLoads;
    if (same) return;
    this.#limits = limits;
    this.#rate = new RateLimit(limits.loadsPerSecond, limits.concurrentLoads);
    for (let taken = 0; taken < limits.concurrentLoads; taken += 1) {
      this.#rate.take(now);
    }
  }

  /** How many permits are out. */
  get outstanding(): number {
    return this.#permits.size;
  }

  /** How long a load takes, smoothed. */
  get loadTime(): Duration {
    return this.#loadTime.value;
  }

  /**
   * Estimates how long a wish waits for its permit.
   * @param ahead How many wishes are at least as urgent.
   * @returns The estimate.
   */
  expectedWait(ahead: number): Duration {
    return expectedGrantWait({
      ahead,
      outstanding: this.#permits.size,
      limits: this.#limits,
      loadTime: this.#loadTime.value,
    });
  }

  /**
   * Replaces the wishes of an engine.
   * @param now The present time.
   * @param engine The engine.
   * @param wishes What its controller wants now, the most urgent few.
   */
  offer(now: Instant, engine: EngineId, wishes: readonly LoadWish[]): void {
    if (wishes.length === 0) this.#offers.delete(engine);
    else this.#offers.set(engine, { wishes, offeredAt: now });
  }

  /**
   * Tells whether a permit could be granted now.
   * @param now The present time.
   * @returns Whether rate and concurrency leave room.
   */
  hasRoom(now: Instant): boolean {
    this.#expire(now);
    return now >= this.#quietUntil &&
      this.#permits.size < this.#limits.concurrentLoads &&
      this.#rate.allowedAt(now) <= now;
  }

  /**
   * Tells when rate alone allows the next permit.
   * @param now The present time.
   * @returns The time.
   */
  nextGrantAt(now: Instant): Instant {
    return instant(Math.max(this.#rate.allowedAt(now), this.#quietUntil));
  }

  /**
   * Grants the most urgent wish, where there is room.
   * @param now The present time.
   * @returns The permit, or nothing.
   */
  grant(now: Instant): LoadPermit | undefined {
    if (!this.hasRoom(now)) return undefined;
    const wish = this.#takeMostUrgent(now);
    if (wish === undefined) return undefined;
    const permit: LoadPermit = {
      engine: wish.engine,
      key: wish.key,
      adapter: wish.adapter,
      grantedAt: now,
      expiresAt: later(now, PERMIT_LIFETIME),
    };
    this.#rate.take(now);
    this.#permits.set(permitName(wish), permit);
    assertInvariant(
      this.#permits.size <= this.#limits.concurrentLoads,
      "loads_within_weight_store_limits",
      () => `${this.#permits.size} permits are out.`,
    );
    return permit;
  }

  /**
   * Takes note that a load goes on: its permit lives longer. A load by a
   * permit of another holder counts from now on like an own one.
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
    const known = this.#permits.get(permitName(load));
    const expiresAt = later(now, PERMIT_LIFETIME);
    const grantedAt = known?.grantedAt ?? now;
    const { engine, key, adapter } = load;
    const permit = { engine, key, adapter, grantedAt, expiresAt };
    this.#permits.set(permitName(load), permit);
  }

  /**
   * Takes back a permit.
   * @param now The present time.
   * @param load The engine and adapter, and whether the adapter was loaded.
   */
  finished(
    now: Instant,
    load: {
      readonly engine: EngineId;
      readonly key: AdapterKey;
      readonly loaded: boolean;
    },
  ): void {
    const permit = this.#permits.get(permitName(load));
    if (permit === undefined) return;
    this.#permits.delete(permitName(load));
    if (load.loaded) this.#loadTime.observe(elapsed(permit.grantedAt, now));
  }

  /**
   * Takes back all permits of an engine that is gone or restarted.
   * @param engine The engine.
   */
  forget(engine: EngineId): void {
    this.#offers.delete(engine);
    for (const [name, permit] of this.#permits) {
      if (permit.engine === engine) this.#permits.delete(name);
    }
  }

  #expire(now: Instant): void {
    for (const [name, permit] of this.#permits) {
      if (permit.expiresAt <= now) this.#permits.delete(name);
    }
  }

  #takeMostUrgent(now: Instant): LoadWish | undefined {
    const oldest = instant(now - WISH_LIFETIME);
    let best: LoadWish | undefined;
    for (const [engine, offer] of this.#offers) {
      if (offer.offeredAt < oldest) {
        this.#offers.delete(engine);
        continue;
      }
      for (const wish of offer.wishes) {
        if (this.#permits.has(permitName(wish))) continue;
        if (best === undefined || wish.urgency > best.urgency) best = wish;
      }
    }
    if (best !== undefined) this.#drop(best);
    return best;
  }

  #drop(wish: LoadWish): void {
    const offer = this.#offers.get(wish.engine);
    if (offer === undefined) return;
    const wishes = offer.wishes.filter((other) => other.key !== wish.key);
    if (wishes.length === 0) this.#offers.delete(wish.engine);
    else this.#offers.set(wish.engine, { ...offer, wishes });
  }
}

function permitName(
  load: { readonly engine: EngineId; readonly key: AdapterKey },
): string {
  return `${load.engine}/${load.key}`;
}
