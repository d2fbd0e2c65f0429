import { type AdapterQueue, queueUrgency } from "../dispatch/mod.ts";
import type {
  DemandTracker,
  LoadEstimates,
  ResidenceIndex,
} from "../placement/mod.ts";
import type { AdapterKey, Instant } from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** The share of its value that a further replica of an adapter has. */
const REPLICA_VALUE_SHARE = 0.1;

/** The data from which values of adapters are estimated. */
export interface AdapterValueParts {
  readonly demand: DemandTracker;
  readonly index: ResidenceIndex;
  readonly loads: LoadEstimates;
}

/**
 * Estimates the value of an adapter to its callers: expected demand times
 * reload time times the tightness of the targets.
 */
export class AdapterValueEstimator {
  readonly #parts: AdapterValueParts;

  /** @param parts The data for the estimates. */
  constructor(parts: AdapterValueParts) {
    this.#parts = parts;
  }

  /**
   * Estimates the cost of not having an adapter.
   * @param now The present time.
   * @param key The key of the adapter.
   * @returns The cost in target lengths of waiting per second.
   */
  absenceCost(now: Instant, key: AdapterKey): number {
    const demand = this.#parts.demand.find(key);
    if (demand === undefined) return 0;
    return demand.pressure(now) * this.#stallSeconds();
  }

  /**
   * Estimates what an engine loses by evicting an adapter.
   * @param now The present time.
   * @param key The key of the adapter.
   * @param ready The ready requests for the adapter, if any.
   * @returns The loss in target lengths of waiting per second.
   */
  evictionLoss(
    now: Instant,
    key: AdapterKey,
    ready: AdapterQueue | undefined,
  ): number {
    const waiting = ready === undefined ? 0 : queueUrgency(now, ready);
    const isOnly = this.#parts.index.enginesOf(key).length < 2;
    const share = isOnly ? 1 : REPLICA_VALUE_SHARE;
    return waiting + share * this.absenceCost(now, key);
  }

  #stallSeconds(): number {
    const { loads } = this.#parts;
    const stall = loads.expectedWait(1) + loads.loadTime;
    return stall / MILLISECONDS_PER_SECOND;
  }
}
