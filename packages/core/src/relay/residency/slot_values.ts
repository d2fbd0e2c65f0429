import { DemandTracker, ResidenceIndex } from "../../placement/mod.ts";
import { AdapterValueEstimator } from "../../serving/adapter_value_estimator.ts";
import {
  type AdapterKey,
  adapterVersion,
  type Duration,
  type Instant,
  milliseconds,
  seconds,
} from "../../shared/mod.ts";
import { type AdapterName, adapterNameKey } from "../adapter_slot.ts";

/** The adapters of one engine whose demand is remembered. */
const MAXIMUM_ADAPTERS = 256;
/** Demand is counted by adapter, whatever its version. */
const ANY_VERSION = adapterVersion("any");
/** All requests count alike, whatever their target. */
const TARGET: Duration = seconds(1);

/**
 * The value of the adapters on one engine: how often its owner has granted each
 * of them lately, times what it takes to bring it back. What leaves a slot is
 * in the engine's cache, so that all are brought back in the same time.
 */
export class SlotValues {
  readonly #demand = new DemandTracker(MAXIMUM_ADAPTERS);
  readonly #estimator: AdapterValueEstimator;

  /** @param reloadTime Returns the time to load a cached adapter. */
  constructor(reloadTime: () => Duration) {
    this.#estimator = new AdapterValueEstimator({
      demand: this.#demand,
      index: new ResidenceIndex(),
      loads: {
        get loadTime() {
          return reloadTime();
        },
        expectedWait: () => milliseconds(0),
      },
    });
  }

  /**
   * Counts a granted use.
   * @param now The present time.
   * @param name The adapter.
   */
  recordUse(now: Instant, name: AdapterName): void {
    this.#demand.recordArrival(now, {
      key: keyOf(name),
      adapter: { adapter: name.adapter, version: ANY_VERSION },
      target: TARGET,
    });
  }

  /**
   * Estimates what the engine loses by evicting an adapter.
   * @param now The present time.
   * @param name The adapter.
   * @returns The waiting time that its absence adds per second.
   */
  evictionLoss(now: Instant, name: AdapterName): number {
    return this.#estimator.evictionLoss(now, keyOf(name), undefined);
  }
}

function keyOf(name: AdapterName): AdapterKey {
  return adapterNameKey(name) as AdapterKey;
}
