import type { Duration } from "../shared/mod.ts";

/** A load measurement from an ended attempt. */
export interface LoadSample {
  readonly latency: Duration;
  /** The service's latency target. */
  readonly target: Duration;
  /** Calls in flight from this node when the attempt began. */
  readonly inFlight: number;
  /** Whether the server refused the call or did not answer in time. */
  readonly overloaded: boolean;
}

/** Limits how many calls this node sends to a server concurrently. */
export abstract class ConcurrencyLimit {
  /** The current limit. */
  abstract get value(): number;

  /**
   * Adapts to an ended attempt.
   * @param sample The measurement.
   */
  abstract update(sample: LoadSample): void;
}

/** Sets no limit. Serves as a baseline in benchmarks. */
export class UnlimitedConcurrency extends ConcurrencyLimit {
  override get value(): number {
    return Number.POSITIVE_INFINITY;
  }

  override update(): void {
    // The limit is fixed.
  }
}

const INITIAL_LIMIT = 20;
const MINIMUM_LIMIT = 2;
const MAXIMUM_LIMIT = 1_000;
const BACKOFF_FACTOR = 0.9;
const CONGESTED_BASELINE_RATIO = 3;
const CONGESTED_TARGET_SHARE = 0.5;
const BASELINE_DRIFT_FACTOR = 1.0002;
const MINIMUM_BASELINE_MILLISECONDS = 0.5;

/**
 * Additive increase, multiplicative decrease (AIMD). An overload reported by
 * the server counts as congestion, and so does a latency above both half of
 * the target and a multiple of the baseline. The baseline is the lowest latency
 * seen. It drifts up slowly, to adapt to a server that became permanently
 * slower.
 */
export class AdditiveIncreaseLimit extends ConcurrencyLimit {
  #limit = INITIAL_LIMIT;
  #baseline = Number.POSITIVE_INFINITY;

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override update(sample: LoadSample): void {
    const latency = Math.max(sample.latency, MINIMUM_BASELINE_MILLISECONDS);
    this.#baseline = Math.min(latency, this.#baseline * BASELINE_DRIFT_FACTOR);
    const threshold = Math.max(
      sample.target * CONGESTED_TARGET_SHARE,
      this.#baseline * CONGESTED_BASELINE_RATIO,
    );
    const isCongested = sample.overloaded || latency > threshold;
    if (isCongested) {
      this.#limit = Math.max(MINIMUM_LIMIT, this.#limit * BACKOFF_FACTOR);
      return;
    }
    const isUsed = sample.inFlight * 2 >= this.#limit;
    if (!isUsed) return;
    this.#limit = Math.min(MAXIMUM_LIMIT, this.#limit + 1 / this.#limit);
  }
}

const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_SMOOTHING = 0.05;
const RECENT_WEIGHT = 0.2;
const LONG_TERM_WEIGHT = 0.005;
const MINIMUM_GRADIENT = 0.5;

/**
 * Adjusts the limit by the ratio of long-term to recent latency, as the
 * gradient limit of Netflix's concurrency-limits does.
 */
export class GradientLimit extends ConcurrencyLimit {
  #limit = INITIAL_LIMIT;
  #recentLatency: number | undefined;
  #longTermLatency: number | undefined;

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override update(sample: LoadSample): void {
    const latency = Math.max(sample.latency, MINIMUM_BASELINE_MILLISECONDS);
    this.#recentLatency = movingAverage(
      this.#recentLatency,
      latency,
      RECENT_WEIGHT,
    );
    this.#longTermLatency = movingAverage(
      this.#longTermLatency,
      latency,
      LONG_TERM_WEIGHT,
    );
    if (sample.overloaded) {
      this.#limit = Math.max(MINIMUM_LIMIT, this.#limit * BACKOFF_FACTOR);
      return;
    }
    if (sample.inFlight * 2 < this.#limit) return;
    const ratio = GRADIENT_TOLERANCE * this.#longTermLatency /
      this.#recentLatency;
    const gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, ratio));
    const desired = this.#limit * gradient + Math.sqrt(this.#limit);
    const next = this.#limit * (1 - GRADIENT_SMOOTHING) +
      desired * GRADIENT_SMOOTHING;
    this.#limit = Math.min(MAXIMUM_LIMIT, Math.max(MINIMUM_LIMIT, next));
  }
}

function movingAverage(
  before: number | undefined,
  sample: number,
  weight: number,
): number {
  return before === undefined
    ? sample
    : before * (1 - weight) + sample * weight;
}
