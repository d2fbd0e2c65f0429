import {
  adapterKey,
  type EngineId,
  type LoadLimits,
  LoadPermitIssuer,
  type LoadWish,
  staticShare,
} from "@foxtailwind/core";
import type { SteadyClock } from "../../clock/steady_clock.ts";
import type { PermitListener, PermittedLoad } from "./load_permits.ts";

/** Grants each engine a conservative share while no holder is reachable. */
export class StaticPermits {
  readonly #clock: SteadyClock;
  readonly #issuers = new Map<EngineId, LoadPermitIssuer>();

  /** @param clock This VM's clock. */
  constructor(clock: SteadyClock) {
    this.#clock = clock;
  }

  /**
   * Replaces the wishes of an engine and grants the most urgent one, if its
   * share allows.
   * @param engine The engine.
   * @param wishes Its wishes.
   * @param options The store's limits for all engines, the number of engines,
   * and the receiver of the permit.
   */
  setWishes(engine: EngineId, wishes: readonly LoadWish[], options: {
    readonly limits: LoadLimits;
    readonly engines: number;
    readonly listener: PermitListener;
  }): void {
    const now = this.#clock.now();
    const share = staticShare(options.limits, options.engines);
    const issuer = this.#issuers.get(engine) ?? new LoadPermitIssuer(share);
    this.#issuers.set(engine, issuer);
    issuer.changeLimits(now, share);
    issuer.setWishes(now, engine, wishes);
    const permit = issuer.grant(now);
    if (permit !== undefined) options.listener(permit.adapter);
  }

  /**
   * Releases a permit.
   * @param load The load, and whether the adapter was loaded.
   */
  release(load: PermittedLoad & { readonly loaded: boolean }): void {
    const key = adapterKey(load.adapter);
    const issuer = this.#issuers.get(load.engine);
    issuer?.release(this.#clock.now(), { ...load, key });
  }
}
