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
const QUIET = seconds(1);
const LONGEST_SLEEP = 50;

/** Holds the permits of one weight store while this node is chosen for it. */
export class PermitHolder {
  readonly #clock: SteadyClock;
  readonly #ledger: LoadPermitIssuer;
  readonly #listeners = new Map<EngineId, PermitListener>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param clock This VM's clock.
   * @param limits What the weight store allows.
   */
  constructor(clock: SteadyClock, limits: LoadLimits) {
    this.#clock = clock;
    this.#ledger = new LoadPermitIssuer(limits, later(clock.now(), QUIET));
  }

  /** How many permits are out. */
  get outstanding(): number {
    return this.#ledger.outstanding;
  }

  /**
   * Takes the limits into force that the weight store states.
   * @param limits The limits.
   */
  changeLimits(limits: LoadLimits): void {
    this.#ledger.changeLimits(this.#clock.now(), limits);
  }

  /**
   * Replaces an engine's wishes.
   * @param engine The engine.
   * @param wishes The most urgent ones.
   * @param listener Receives the engine's permits.
   */
  offer(
    engine: EngineId,
    wishes: readonly LoadWish[],
    listener: PermitListener,
  ): void {
    this.#listeners.set(engine, listener);
    this.#ledger.setWishes(this.#clock.now(), engine, wishes);
    this.#grant();
  }

  /**
   * Takes a permit back.
   * @param load The load, and whether the adapter was loaded.
   */
  ended(load: PermittedLoad & { readonly loaded: boolean }): void {
    const key = adapterKey(load.adapter);
    this.#ledger.release(this.#clock.now(), { ...load, key });
    this.#grant();
  }

  /**
   * Takes note that a load goes on.
   * @param load The load.
   */
  renewed(load: PermittedLoad): void {
    const key = adapterKey(load.adapter);
    this.#ledger.renew(this.#clock.now(), { ...load, key });
  }

  /**
   * Forgets an engine's wishes; its permits run out by themselves.
   * @param engine The engine.
   */
  withdraw(engine: EngineId): void {
    this.#ledger.setWishes(this.#clock.now(), engine, []);
    this.#listeners.delete(engine);
  }

  /** Grants nothing any more. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#listeners.clear();
  }

  #grant(): void {
    const now = this.#clock.now();
    for (;;) {
      const permit = this.#ledger.grant(now);
      if (permit === undefined) break;
      const listener = this.#listeners.get(permit.engine);
      if (listener === undefined) {
        this.#ledger.release(now, { ...permit, loaded: false });
      } else {
        listener(permit.adapter);
      }
    }
    this.#schedule(now);
  }

  #schedule(now: Instant): void {
    if (this.#timer !== undefined || !this.#ledger.hasWishes) return;
    const wait = this.#ledger.nextGrantAt(now) - now;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#grant();
    }, Math.min(LONGEST_SLEEP, Math.max(1, wait)));
  }
}
