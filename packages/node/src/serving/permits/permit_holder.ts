import {
  adapterKey,
  type EngineId,
  type Instant,
  later,
  type LoadLimits,
  LoadPermitIssuer,
  type LoadWish,
  seconds,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { PermitListener, PermittedLoad } from "./load_permits.ts";

/**
 * How long a new holder waits, since loads permitted by the previous one may
 * still run.
 */
const STARTUP_DELAY = seconds(1);
const MAXIMUM_SLEEP_MILLISECONDS = 50;

/** Grants the permits of one weight store while this node is the holder. */
export class PermitHolder {
  readonly #clock: SteadyClock;
  readonly #issuer: LoadPermitIssuer;
  readonly #listeners = new Map<EngineId, PermitListener>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clock This VM's clock.
   * @param limits The limits of the weight store.
   */
  constructor(clock: SteadyClock, limits: LoadLimits) {
    this.#clock = clock;
    this.#issuer = new LoadPermitIssuer(
      limits,
      later(clock.now(), STARTUP_DELAY),
    );
  }

  /** Number of permits in use. */
  get outstanding(): number {
    return this.#issuer.outstanding;
  }

  /**
   * Applies the limits stated by the weight store.
   * @param limits The limits.
   */
  changeLimits(limits: LoadLimits): void {
    this.#issuer.changeLimits(this.#clock.now(), limits);
  }

  /**
   * Replaces the wishes of an engine.
   * @param engine The engine.
   * @param wishes The most urgent wishes.
   * @param listener Receives the engine's permits.
   */
  setWishes(
    engine: EngineId,
    wishes: readonly LoadWish[],
    listener: PermitListener,
  ): void {
    this.#listeners.set(engine, listener);
    this.#issuer.setWishes(this.#clock.now(), engine, wishes);
    this.#grantPermits();
  }

  /**
   * Releases a permit.
   * @param load The load, and whether the adapter was loaded.
   */
  release(load: PermittedLoad & { readonly loaded: boolean }): void {
    const key = adapterKey(load.adapter);
    this.#issuer.release(this.#clock.now(), { ...load, key });
    this.#grantPermits();
  }

  /**
   * Extends the permit of a load in progress.
   * @param load The load.
   */
  renew(load: PermittedLoad): void {
    const key = adapterKey(load.adapter);
    this.#issuer.renew(this.#clock.now(), { ...load, key });
  }

  /**
   * Removes an engine's wishes. Its permits expire by themselves.
   * @param engine The engine.
   */
  removeEngine(engine: EngineId): void {
    this.#issuer.setWishes(this.#clock.now(), engine, []);
    this.#listeners.delete(engine);
  }

  /** Stops granting permits. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#listeners.clear();
  }

  #grantPermits(): void {
    const now = this.#clock.now();
    for (;;) {
      const permit = this.#issuer.grant(now);
      if (permit === undefined) break;
      const listener = this.#listeners.get(permit.engine);
      if (listener === undefined) {
        this.#issuer.release(now, { ...permit, loaded: false });
      } else {
        listener(permit.adapter);
      }
    }
    this.#scheduleGrant(now);
  }

  #scheduleGrant(now: Instant): void {
    if (this.#timer !== undefined || !this.#issuer.hasWishes) return;
    const wait = this.#issuer.nextGrantAt(now) - now;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#grantPermits();
    }, Math.min(MAXIMUM_SLEEP_MILLISECONDS, Math.max(1, wait)));
  }
}
