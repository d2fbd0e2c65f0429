import { type Duration, milliseconds, seconds } from "../shared/mod.ts";

/** The timing of the ownership protocol. It must be the same on all nodes. */
export interface OwnershipTiming {
  /** How long a confirmed log tail permits sending orders. */
  readonly lease: Duration;
  /** How long a successor's promise lasts, which is also the maximum. */
  readonly promise: Duration;
  /** The interval at which a controller requests promises. */
  readonly promiseRequestInterval: Duration;
  /** Silence of a controller after which its first successor takes over. */
  readonly suspectAfter: Duration;
  /** The additional wait of each further successor or candidate. */
  readonly candidateStagger: Duration;
  /** Fraction by which the rate of a clock may differ from true time. */
  readonly clockRateMargin: number;
  /** The longest time between sending an order and its start at the engine. */
  readonly orderFlight: Duration;
  /** How long promises replace the lease while the log cannot be read. */
  readonly promiseHorizon: Duration;
  /** How long to wait for the result of an append before trying again. */
  readonly appendTimeout: Duration;
  /** How long another node must be the best candidate before a hand-over. */
  readonly rebalanceAfter: Duration;
}

/** The default timing. */
export const DEFAULT_OWNERSHIP_TIMING: OwnershipTiming = {
  lease: milliseconds(1_000),
  promise: milliseconds(1_000),
  promiseRequestInterval: milliseconds(250),
  suspectAfter: milliseconds(900),
  candidateStagger: milliseconds(400),
  clockRateMargin: 0.01,
  orderFlight: milliseconds(500),
  promiseHorizon: seconds(600),
  appendTimeout: milliseconds(1_000),
  rebalanceAfter: seconds(10),
};

/**
 * Lengthens a wait so that it is long enough for any clock rate within the
 * margin.
 * @param duration The wait in true time.
 * @param timing The clock rate margin.
 * @returns The wait by the local clock.
 */
export function lengthenByClockMargin(
  duration: Duration,
  timing: OwnershipTiming,
): Duration {
  return milliseconds(duration * (1 + timing.clockRateMargin));
}

/**
 * Shortens a validity so that it ends in time for any clock rate within the
 * margin.
 * @param duration The validity in true time.
 * @param timing The clock rate margin.
 * @returns The validity by the local clock.
 */
export function shortenByClockMargin(
  duration: Duration,
  timing: OwnershipTiming,
): Duration {
  return milliseconds(duration * (1 - timing.clockRateMargin));
}
