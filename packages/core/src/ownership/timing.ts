import { type Duration, milliseconds, seconds } from "../shared/mod.ts";

/** The times of the ownership protocol. The same on all nodes. */
export interface OwnershipTiming {
  /** How long a confirmed log tail gives the right to order. */
  readonly lease: Duration;
  /** How long a successor's promise lasts; also the longest it may give. */
  readonly promise: Duration;
  /** How often a controller asks for promises. */
  readonly askInterval: Duration;
  /** Silence of a controller after which its first successor acts. */
  readonly suspectAfter: Duration;
  /** The further wait of each next successor or candidate. */
  readonly candidateStagger: Duration;
  /** Share by which the rates of two clocks may differ from true time. */
  readonly clockRateMargin: number;
  /** The longest time between giving an order and its start at the engine. */
  readonly orderFlight: Duration;
  /** How long promises carry a controller that cannot read the log. */
  readonly promiseHorizon: Duration;
  /** How long an append may stay unanswered before it is made again. */
  readonly appendTimeout: Duration;
  /** How long a better controller must be stable before a hand-over to it. */
  readonly rebalanceAfter: Duration;
}

/** The times in force by default. */
export const DEFAULT_OWNERSHIP_TIMING: OwnershipTiming = {
  lease: milliseconds(1_000),
  promise: milliseconds(1_000),
  askInterval: milliseconds(250),
  suspectAfter: milliseconds(900),
  candidateStagger: milliseconds(400),
  clockRateMargin: 0.01,
  orderFlight: milliseconds(500),
  promiseHorizon: seconds(600),
  appendTimeout: milliseconds(1_000),
  rebalanceAfter: seconds(10),
};

/**
 * Lengthens a wait, so that it is long enough by any clock within the margin.
 * @param duration The wait in true time.
 * @param timing The clock rate margin.
 * @returns The wait by one's own clock.
 */
export function atLeast(duration: Duration, timing: OwnershipTiming): Duration {
  return milliseconds(duration * (1 + timing.clockRateMargin));
}

/**
 * Shortens a validity, so that it ends in time by any clock within the margin.
 * @param duration The validity in true time.
 * @param timing The clock rate margin.
 * @returns The validity by one's own clock.
 */
export function atMost(duration: Duration, timing: OwnershipTiming): Duration {
  return milliseconds(duration * (1 - timing.clockRateMargin));
}
