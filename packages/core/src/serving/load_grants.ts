import type { LoadPermitLedger } from "../loads/mod.ts";
import {
  CLOCK_START,
  type EngineId,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { EngineController } from "./engine_controller.ts";
import type { PrefetchScout } from "./prefetch_scout.ts";

/** How long wishes stand while no request, load or eviction changes them. */
const WISHES_LAST = milliseconds(50);

/** What grants are made from. */
export interface LoadGrantsParts {
  readonly ledger: LoadPermitLedger;
  readonly scout: PrefetchScout;
  readonly engines: ReadonlyMap<EngineId, EngineController>;
}

/** Brings the engines' wishes to the ledger, and its permits to them. */
export class LoadGrants {
  readonly #parts: LoadGrantsParts;
  /** Engines whose wishes may differ from those that they last offered. */
  readonly #changed = new Set<EngineId>();
  #nextLook = CLOCK_START;

  /** @param parts What grants are made from. */
  constructor(parts: LoadGrantsParts) {
    this.#parts = parts;
  }

  /**
   * Takes note that an engine may now wish for other adapters.
   * @param engine The engine.
   */
  wishesChanged(engine: EngineId): void {
    this.#changed.add(engine);
  }

  /**
   * Grants what the weight store has room for.
   * @param now The present time.
   * @returns The engines that got a permit.
   */
  grant(now: Instant): ReadonlySet<EngineId> {
    if (!this.#parts.ledger.hasRoom(now)) return new Set();
    this.#offerWishes(now);
    return this.#usePermits(now);
  }

  #offerWishes(now: Instant): void {
    const { engines, ledger, scout } = this.#parts;
    scout.look(now, engines);
    if (now >= this.#nextLook) {
      this.#nextLook = later(now, WISHES_LAST);
      for (const engine of engines.keys()) this.#changed.add(engine);
    }
    for (const engine of this.#changed) {
      const wishes = engines.get(engine)
        ?.wishes(now, scout.candidates(now, engine));
      if (wishes !== undefined) ledger.offer(now, engine, wishes);
    }
    this.#changed.clear();
  }

  #usePermits(now: Instant): ReadonlySet<EngineId> {
    const { engines, ledger } = this.#parts;
    const granted = new Set<EngineId>();
    for (;;) {
      const permit = ledger.grant(now);
      if (permit === undefined) return granted;
      const { engine, adapter } = permit;
      const used = engines.get(engine)?.usePermit(now, adapter) ?? false;
      if (!used) ledger.finished(now, { ...permit, loaded: false });
      granted.add(engine);
      this.#changed.add(engine);
    }
  }
}
