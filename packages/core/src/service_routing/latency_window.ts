import { build, type Histogram } from "hdr-histogram-js";
import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

const HISTOGRAM_PERIOD = seconds(3);
const MINIMUM_SAMPLES = 20;
const UNITS_PER_MILLISECOND = 100;
const MAXIMUM_LATENCY_MILLISECONDS = 600_000;
const MEDIAN_PERCENTILE = 50;
const HIGH_PERCENTILE = 95;
const DEFAULT_LATENCY = milliseconds(1);

/** Latency percentiles over the last three to six seconds. */
export class LatencyWindow {
  #current = emptyHistogram();
  #previous = emptyHistogram();
  #startedAt: Instant | undefined;

  /**
   * Adds a sample.
   * @param now The present time.
   * @param latency The measured latency.
   */
  add(now: Instant, latency: Duration): void {
    this.#rotate(now);
    const bounded = Math.min(latency, MAXIMUM_LATENCY_MILLISECONDS);
    this.#current.recordValue(
      Math.max(1, Math.round(bounded * UNITS_PER_MILLISECOND)),
    );
  }

  /**
   * Reads a percentile.
   * @param percentile From 0 to 100.
   * @returns The latency, or undefined while there are too few samples.
   */
  percentile(percentile: number): Duration | undefined {
    const source = this.#previous.totalCount >= MINIMUM_SAMPLES
      ? this.#previous
      : this.#current;
    if (source.totalCount < MINIMUM_SAMPLES) return undefined;
    const units = source.getValueAtPercentile(percentile);
    return milliseconds(units / UNITS_PER_MILLISECOND);
  }

  /** The median latency, or a default while there are too few samples. */
  get median(): Duration {
    return this.percentile(MEDIAN_PERCENTILE) ?? DEFAULT_LATENCY;
  }

  /** The 95th percentile, or a default while there are too few samples. */
  get percentile95(): Duration {
    return this.percentile(HIGH_PERCENTILE) ?? DEFAULT_LATENCY;
  }

  #rotate(now: Instant): void {
    this.#startedAt ??= now;
    if (elapsed(this.#startedAt, now) < HISTOGRAM_PERIOD) return;
    const reused = this.#previous;
    this.#previous = this.#current;
    reused.reset();
    this.#current = reused;
    this.#startedAt = now;
  }
}

function emptyHistogram(): Histogram {
  return build({
    highestTrackableValue: MAXIMUM_LATENCY_MILLISECONDS * UNITS_PER_MILLISECOND,
    numberOfSignificantValueDigits: 2,
  });
}
