/** What an engine stand-in counted since it was made, restarts included. */
export interface FakeEngineCounters {
  steps: number;
  /** Sequences summed over the steps; with `steps` gives the batch fill. */
  sequenceSteps: number;
  tokens: number;
  prefilledTokens: number;
  generationsStarted: number;
  generationsFinished: number;
  generationsCancelled: number;
  generationsResumed: number;
  /** Starts of a request that had already been started here. */
  repeatedRequests: number;
  preemptions: number;
  /** Generations that an eviction order killed: a broken invariant. */
  evictedInUse: number;
  loads: number;
  loadsFailed: number;
  evictions: number;
  ordersFenced: number;
  ordersExpired: number;
  refusedNotResident: number;
  ranWrongAdapter: number;
  startedWhileLeaving: number;
  restarts: number;
}

/**
 * Makes counters that have counted nothing.
 * @returns The counters.
 */
export function zeroCounters(): FakeEngineCounters {
  return {
    steps: 0,
    sequenceSteps: 0,
    tokens: 0,
    prefilledTokens: 0,
    generationsStarted: 0,
    generationsFinished: 0,
    generationsCancelled: 0,
    generationsResumed: 0,
    repeatedRequests: 0,
    preemptions: 0,
    evictedInUse: 0,
    loads: 0,
    loadsFailed: 0,
    evictions: 0,
    ordersFenced: 0,
    ordersExpired: 0,
    refusedNotResident: 0,
    ranWrongAdapter: 0,
    startedWhileLeaving: 0,
    restarts: 0,
  };
}
