import {
  AdapterRouter,
  AdapterValueEstimator,
  DemandTracker,
  type Duration,
  expectedPermitWait,
  type LoadEstimates,
  type LoadLimits,
  milliseconds,
  PrefetchPlanner,
  PrefixHistory,
  ResidenceIndex,
  SmoothedDuration,
} from "@foxtailwind/core";

const INITIAL_LOAD_TIME = milliseconds(500);
const LOAD_TIME_SAMPLE_WEIGHT = 0.1;

/** Used until the limits of the weight store have been read. */
export const INITIAL_LIMITS: LoadLimits = {
  loadsPerSecond: 1,
  concurrentLoads: 1,
};

/** Load estimates from this node's loads and the permit holder's reports. */
export class MeasuredLoadEstimates implements LoadEstimates {
  limits: LoadLimits = INITIAL_LIMITS;
  /** Number of permits in use in the whole deployment. */
  outstanding = 0;
  readonly #loadTime = new SmoothedDuration(
    INITIAL_LOAD_TIME,
    LOAD_TIME_SAMPLE_WEIGHT,
  );

  get loadTime(): Duration {
    return this.#loadTime.value;
  }

  /**
   * Records the duration of a load.
   * @param duration The time from the order to its end.
   */
  observe(duration: Duration): void {
    this.#loadTime.observe(duration);
  }

  expectedWait(ahead: number): Duration {
    return expectedPermitWait({
      wishesAhead: ahead,
      outstanding: this.outstanding,
      limits: this.limits,
      loadTime: this.loadTime,
    });
  }
}

/** A node's data on adapters, shared by its router and its runners. */
export class AdapterAggregates {
  readonly demand = new DemandTracker();
  readonly index = new ResidenceIndex();
  readonly prefixes = new PrefixHistory();
  readonly loads = new MeasuredLoadEstimates();
  readonly router: AdapterRouter;
  readonly value: AdapterValueEstimator;
  readonly prefetchPlanner: PrefetchPlanner;

  constructor() {
    this.router = new AdapterRouter(this);
    this.value = new AdapterValueEstimator(this);
    this.prefetchPlanner = new PrefetchPlanner(this);
  }
}
