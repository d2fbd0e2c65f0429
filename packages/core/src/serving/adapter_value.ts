import { type AdapterLine, lineUrgency } from "../dispatch/mod.ts";
import type {
  DemandTracker,
  LoadOutlook,
  ResidenceIndex,
} from "../placement/mod.ts";
import type { AdapterKey, Instant } from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** What a further replica is worth while others hold the adapter. */
const REPLICA_SHARE = 0.1;

/** What values of adapters are worked out from. */
export interface AdapterValueParts {
  readonly demand: DemandTracker;
  readonly index: ResidenceIndex;
  readonly loads: LoadOutlook;
}

/**
 * Estimates what an adapter is worth to its callers: expected demand times
 * the cost to reload times the tightness of the targets.
 */
export class AdapterValue {
  readonly #parts: AdapterValueParts;

  /** @param parts What to work it out from. */
  constructor(parts: AdapterValueParts) {
    this.#parts = parts;
  }

  /**
   * Estimates what the absence of an adapter costs.
   * @param now The present time.
   * @param key The adapter.
   * @returns Target lengths of waiting a second.
   */
  absenceCost(now: Instant, key: AdapterKey): number {
    const demand = this.#parts.demand.find(key);
    if (demand === undefined) return 0;
    return demand.pressure(now) * this.#stallSeconds();
  }

  /**
   * Estimates what an engine loses by evicting an adapter.
   * @param now The present time.
   * @param key The adapter.
   * @param ready The requests for it that could run now, if any.
   * @returns Target lengths of waiting a second.
   */
  evictionLoss(
    now: Instant,
    key: AdapterKey,
    ready: AdapterLine | undefined,
  ): number {
    const waiting = ready === undefined ? 0 : lineUrgency(now, ready);
    const isOnly = this.#parts.index.enginesOf(key).length < 2;
    const share = isOnly ? 1 : REPLICA_SHARE;
    return waiting + share * this.absenceCost(now, key);
  }

  #stallSeconds(): number {
    const { loads } = this.#parts;
    const stall = loads.expectedWait(1) + loads.loadTime;
    return stall / MILLISECONDS_PER_SECOND;
  }
}
