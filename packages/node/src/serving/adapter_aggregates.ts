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

/** Before the weight store has said what it allows. */
export const INITIAL_LIMITS: LoadLimits = {
  loadsPerSecond: 1,
  concurrentLoads: 1,
};

/** What this node expects of loads, by its own and the permit holder's word. */
export class MeasuredLoadEstimates implements LoadEstimates {
  limits: LoadLimits = INITIAL_LIMITS;
  /** How many permits are out in the whole deployment. */
  outstanding = 0;
  readonly #loadTime = new SmoothedDuration(
    INITIAL_LOAD_TIME,
    LOAD_TIME_SAMPLE_WEIGHT,
  );

  get loadTime(): Duration {
    return this.#loadTime.value;
  }

  /**
   * Takes note of how long a load took.
   * @param duration From the order to its end.
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

/** What a node knows of adapters: shared by its router and its runners. */
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
