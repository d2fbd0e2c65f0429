import type { Duration } from "../shared/mod.ts";

/** What an ended attempt tells of a server's load. */
export interface LoadSample {
  readonly latency: Duration;
  /** How quickly the service must answer. */
  readonly target: Duration;
  /** How many calls the server had from here when the attempt began. */
  readonly inFlight: number;
  /** The server refused, or did not answer in time. */
  readonly overloaded: boolean;
}

/** Bounds how many calls a server gets from this node at once. */
export abstract class ConcurrencyLimit {
  /** How many calls the server may have at once. */
  abstract get value(): number;

  /**
   * Adapts to an ended attempt.
   * @param sample What it told.
   */
  abstract update(sample: LoadSample): void;
}

/** Sets no bound: the baseline of measurements. */
export class NoLimit extends ConcurrencyLimit {
  override get value(): number {
    return Number.POSITIVE_INFINITY;
  }

  override update(): void {
    // Nothing adapts.
  }
}

const INITIAL_LIMIT = 20;
const MINIMUM_LIMIT = 2;
const MAXIMUM_LIMIT = 1_000;
const BACKOFF = 0.9;
const CONGESTION_RATIO = 3;
const CONGESTED_TARGET_SHARE = 0.5;
const BASELINE_DRIFT = 1.0002;
const BASELINE_FLOOR_MILLISECONDS = 0.5;

/**
 * Additive increase, multiplicative decrease. Latency that uses up half of
 * the target and lies far above the lowest seen counts as congestion, as does
 * an overload stated by the server. The lowest drifts up slowly, so that a
 * server that became slower for good is not held to its past.
 */
export class AdditiveIncreaseLimit extends ConcurrencyLimit {
  #limit = INITIAL_LIMIT;
  #baseline = Number.POSITIVE_INFINITY;

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override update(sample: LoadSample): void {
    const latency = Math.max(sample.latency, BASELINE_FLOOR_MILLISECONDS);
    this.#baseline = Math.min(latency, this.#baseline * BASELINE_DRIFT);
    const threshold = Math.max(
      sample.target * CONGESTED_TARGET_SHARE,
      this.#baseline * CONGESTION_RATIO,
    );
    const congested = sample.overloaded || latency > threshold;
    if (congested) {
      this.#limit = Math.max(MINIMUM_LIMIT, this.#limit * BACKOFF);
      return;
    }
    const isUsed = sample.inFlight * 2 >= this.#limit;
    if (!isUsed) return;
    this.#limit = Math.min(MAXIMUM_LIMIT, this.#limit + 1 / this.#limit);
  }
}

const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_SMOOTHING = 0.05;
const SHORT_WEIGHT = 0.2;
const LONG_WEIGHT = 0.005;
const LOWEST_GRADIENT = 0.5;

/**
 * Follows the ratio of the long-term to the recent latency (the "gradient"
 * limit of Netflix's concurrency-limits).
 */
export class GradientLimit extends ConcurrencyLimit {
  #limit = INITIAL_LIMIT;
  #short: number | undefined;
  #long: number | undefined;

  override get value(): number {
    return Math.floor(this.#limit);
  }

  override update(sample: LoadSample): void {
    const latency = Math.max(sample.latency, BASELINE_FLOOR_MILLISECONDS);
    this.#short = average(this.#short, latency, SHORT_WEIGHT);
    this.#long = average(this.#long, latency, LONG_WEIGHT);
    if (sample.overloaded) {
      this.#limit = Math.max(MINIMUM_LIMIT, this.#limit * BACKOFF);
      return;
    }
    if (sample.inFlight * 2 < this.#limit) return;
    const ratio = GRADIENT_TOLERANCE * this.#long / this.#short;
    const gradient = Math.max(LOWEST_GRADIENT, Math.min(1, ratio));
    const wanted = this.#limit * gradient + Math.sqrt(this.#limit);
    const next = this.#limit * (1 - GRADIENT_SMOOTHING) +
      wanted * GRADIENT_SMOOTHING;
    this.#limit = Math.min(MAXIMUM_LIMIT, Math.max(MINIMUM_LIMIT, next));
  }
}

function average(
  before: number | undefined,
  sample: number,
  weight: number,
): number {
  return before === undefined
    ? sample
    : before * (1 - weight) + sample * weight;
}
