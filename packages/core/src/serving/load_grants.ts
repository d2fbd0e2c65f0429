import type { LoadPermitIssuer } from "../loads/mod.ts";
import {
  CLOCK_START,
  type EngineId,
  type Instant,
  later,
  milliseconds,
} from "../shared/mod.ts";
import type { EngineController } from "./engine_controller.ts";
import type { PrefetchPlanner } from "./prefetch_planner.ts";

/**
 * How often wishes are refreshed if no request, load or eviction changes them.
 */
const WISH_REFRESH_INTERVAL = milliseconds(50);

/** The dependencies of {@link LoadGrants}. */
export interface LoadGrantsParts {
  readonly ledger: LoadPermitIssuer;
  readonly prefetchPlanner: PrefetchPlanner;
  readonly engines: ReadonlyMap<EngineId, EngineController>;
}

/** Offers the engines' wishes to the ledger and applies its permits. */
export class LoadGrants {
  readonly #parts: LoadGrantsParts;
  /** Engines whose wishes may have changed since their last offer. */
  readonly #changedEngines = new Set<EngineId>();
  #nextRefreshAt = CLOCK_START;

  /** @param parts The dependencies. */
  constructor(parts: LoadGrantsParts) {
    this.#parts = parts;
  }

  /**
   * Marks an engine whose wishes may have changed.
   * @param engine The engine.
   */
  markChanged(engine: EngineId): void {
    this.#changedEngines.add(engine);
  }

  /**
   * Grants loads up to the limits of the weight store.
   * @param now The present time.
   * @returns The engines that received a permit.
   */
  grant(now: Instant): ReadonlySet<EngineId> {
    if (!this.#parts.ledger.canGrant(now)) return new Set();
    this.#offerWishes(now);
    return this.#usePermits(now);
  }

  #offerWishes(now: Instant): void {
    const { engines, ledger, prefetchPlanner } = this.#parts;
    prefetchPlanner.update(now, engines);
    if (now >= this.#nextRefreshAt) {
      this.#nextRefreshAt = later(now, WISH_REFRESH_INTERVAL);
      for (const engine of engines.keys()) this.#changedEngines.add(engine);
    }
    for (const engine of this.#changedEngines) {
      const wishes = engines.get(engine)
        ?.wishes(now, prefetchPlanner.candidates(now, engine));
      if (wishes !== undefined) ledger.setWishes(now, engine, wishes);
    }
    this.#changedEngines.clear();
  }

  #usePermits(now: Instant): ReadonlySet<EngineId> {
    const { engines, ledger } = this.#parts;
    const granted = new Set<EngineId>();
    for (;;) {
      const permit = ledger.grant(now);
      if (permit === undefined) return granted;
      const { engine, adapter } = permit;
      const isUsed = engines.get(engine)?.usePermit(now, adapter) ?? false;
      if (!isUsed) ledger.release(now, { ...permit, loaded: false });
      granted.add(engine);
      this.#changedEngines.add(engine);
    }
  }
}
