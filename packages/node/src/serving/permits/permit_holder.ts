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

/** A new holder waits so long: loads permitted before it may still run. */
const STARTUP_DELAY = seconds(1);
const MAXIMUM_SLEEP_MILLISECONDS = 50;

/** Holds the permits of one weight store while this node is chosen for it. */
export class PermitHolder {
  readonly #clock: SteadyClock;
  readonly #issuer: LoadPermitIssuer;
  readonly #listeners = new Map<EngineId, PermitListener>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clock This VM's clock.
   * @param limits What the weight store allows.
   */
  constructor(clock: SteadyClock, limits: LoadLimits) {
    this.#clock = clock;
    this.#issuer = new LoadPermitIssuer(
      limits,
      later(clock.now(), STARTUP_DELAY),
    );
  }

  /** How many permits are out. */
  get outstanding(): number {
    return this.#issuer.outstanding;
  }

  /**
   * Takes the limits into force that the weight store states.
   * @param limits The limits.
   */
  changeLimits(limits: LoadLimits): void {
    this.#issuer.changeLimits(this.#clock.now(), limits);
  }

  /**
   * Replaces an engine's wishes.
   * @param engine The engine.
   * @param wishes The most urgent ones.
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
   * Takes a permit back.
   * @param load The load, and whether the adapter was loaded.
   */
  release(load: PermittedLoad & { readonly loaded: boolean }): void {
    const key = adapterKey(load.adapter);
    this.#issuer.release(this.#clock.now(), { ...load, key });
    this.#grantPermits();
  }

  /**
   * Takes note that a load goes on.
   * @param load The load.
   */
  renew(load: PermittedLoad): void {
    const key = adapterKey(load.adapter);
    this.#issuer.renew(this.#clock.now(), { ...load, key });
  }

  /**
   * Forgets an engine's wishes; its permits run out by themselves.
   * @param engine The engine.
   */
  removeEngine(engine: EngineId): void {
    this.#issuer.setWishes(this.#clock.now(), engine, []);
    this.#listeners.delete(engine);
  }

  /** Grants nothing any more. */
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
