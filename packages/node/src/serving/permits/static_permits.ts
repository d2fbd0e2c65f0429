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

/** Grants each engine its cautious share while no holder can be reached. */
export class StaticPermits {
  readonly #clock: SteadyClock;
  readonly #ledgers = new Map<EngineId, LoadPermitIssuer>();

  /** @param clock This VM's clock. */
  constructor(clock: SteadyClock) {
    this.#clock = clock;
  }

  /**
   * Grants the most urgent wish, where the share allows.
   * @param engine The engine.
   * @param wishes Its wishes.
   * @param how What the store allows all engines, how many they are, and who
   * receives the permit.
   */
  offer(engine: EngineId, wishes: readonly LoadWish[], how: {
    readonly limits: LoadLimits;
    readonly engines: number;
    readonly listener: PermitListener;
  }): void {
    const now = this.#clock.now();
    const share = staticShare(how.limits, how.engines);
    const ledger = this.#ledgers.get(engine) ?? new LoadPermitIssuer(share);
    this.#ledgers.set(engine, ledger);
    ledger.changeLimits(now, share);
    ledger.setWishes(now, engine, wishes);
    const permit = ledger.grant(now);
    if (permit !== undefined) how.listener(permit.adapter);
  }

  /**
   * Takes a permit back.
   * @param load The load, and whether the adapter was loaded.
   */
  ended(load: PermittedLoad & { readonly loaded: boolean }): void {
    const key = adapterKey(load.adapter);
    const ledger = this.#ledgers.get(load.engine);
    ledger?.release(this.#clock.now(), { ...load, key });
  }
}
