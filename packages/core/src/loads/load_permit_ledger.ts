import {
  type AdapterKey,
  assertInvariant,
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
import type { LoadLimits, LoadPermit, LoadWish } from "./load_wish.ts";
import { RateLimit } from "./rate_limit.ts";

/** How long a permit lasts whose holder says nothing. */
export const PERMIT_LIFETIME = seconds(10);
const WISH_LIFETIME = seconds(2);
const INITIAL_LOAD_TIME = milliseconds(500);
const NEW_SAMPLE_SHARE = 0.1;
const MILLISECONDS_PER_SECOND = 1_000;

interface EngineWishes {
  readonly wishes: readonly LoadWish[];
  readonly offeredAt: Instant;
}

/**
 * Grants the loads from one weight store, the most urgent first, within the
 * store's rate and concurrency. One node holds it for the whole deployment.
 */
export class LoadPermitLedger {
  readonly #limits: LoadLimits;
  readonly #rate: RateLimit;
  readonly #offers = new Map<EngineId, EngineWishes>();
  readonly #permits = new Map<string, LoadPermit>();
  readonly #loadTime = new SmoothedDuration(
    INITIAL_LOAD_TIME,
    NEW_SAMPLE_SHARE,
  );

  /** @param limits What the weight store allows. */
  constructor(limits: LoadLimits) {
    this.#limits = limits;
    this.#rate = new RateLimit(limits.loadsPerSecond, limits.concurrentLoads);
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
    const byRate = MILLISECONDS_PER_SECOND / this.#limits.loadsPerSecond;
    const bySlots = this.#loadTime.value / this.#limits.concurrentLoads;
    const busy = Math.max(
      0,
      this.#permits.size - this.#limits.concurrentLoads + 1,
    );
    return milliseconds((ahead + busy / 2) * Math.max(byRate, bySlots));
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
    return this.#permits.size < this.#limits.concurrentLoads &&
      this.#rate.allowedAt(now) <= now;
  }

  /**
   * Tells when rate alone allows the next permit.
   * @param now The present time.
   * @returns The time.
   */
  nextGrantAt(now: Instant): Instant {
    return this.#rate.allowedAt(now);
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
   * Lengthens the life of a permit whose load goes on.
   * @param now The present time.
   * @param load The engine and adapter.
   */
  renew(
    now: Instant,
    load: { readonly engine: EngineId; readonly key: AdapterKey },
  ): void {
    const permit = this.#permits.get(permitName(load));
    if (permit === undefined) return;
    const expiresAt = later(now, PERMIT_LIFETIME);
    this.#permits.set(permitName(load), { ...permit, expiresAt });
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
