/** Counters of an engine stand-in since its creation. A restart keeps them. */
export interface FakeEngineCounters {
  steps: number;
  /**
   * The sum of the batch sizes of all steps. Divided by `steps`, it gives the
   * average batch size.
   */
  sequenceSteps: number;
  tokens: number;
  prefilledTokens: number;
  generationsStarted: number;
  generationsFinished: number;
  generationsCancelled: number;
  generationsResumed: number;
  /** Starts of a request that had been started on this engine before. */
  repeatedRequests: number;
  preemptions: number;
  /**
   * Generations that an order killed by evicting their adapter. Any count above
   * zero means that an invariant was violated.
   */
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
 * Creates counters that are all zero.
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
