import { build, type Histogram } from "hdr-histogram-js";
import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
  seconds,
} from "../shared/mod.ts";

const WINDOW = seconds(3);
const MINIMUM_SAMPLES = 20;
const UNITS_PER_MILLISECOND = 100;
const HIGHEST_MILLISECONDS = 600_000;
const TYPICAL_PERCENTILE = 50;
const LIKELY_PERCENTILE = 95;
const UNKNOWN_LATENCY = milliseconds(1);

/** Latencies of the last three to six seconds, for their quantiles. */
export class LatencyWindow {
  #current = emptyHistogram();
  #previous = emptyHistogram();
  #startedAt: Instant | undefined;

  /**
   * Takes a sample.
   * @param now The present time.
   * @param latency The latency seen.
   */
  add(now: Instant, latency: Duration): void {
    this.#rotate(now);
    const bounded = Math.min(latency, HIGHEST_MILLISECONDS);
    this.#current.recordValue(
      Math.max(1, Math.round(bounded * UNITS_PER_MILLISECOND)),
    );
  }

  /**
   * Reads a quantile.
   * @param percentile From 0 to 100.
   * @returns The latency, or nothing while samples are few.
   */
  percentile(percentile: number): Duration | undefined {
    const source = this.#previous.totalCount >= MINIMUM_SAMPLES
      ? this.#previous
      : this.#current;
    if (source.totalCount < MINIMUM_SAMPLES) return undefined;
    const units = source.getValueAtPercentile(percentile);
    return milliseconds(units / UNITS_PER_MILLISECOND);
  }

  /** What a call usually takes, for estimates. */
  get typical(): Duration {
    return this.percentile(TYPICAL_PERCENTILE) ?? UNKNOWN_LATENCY;
  }

  /** What nearly all calls stay below, once a server has them. */
  get likelyLongest(): Duration {
    return this.percentile(LIKELY_PERCENTILE) ?? UNKNOWN_LATENCY;
  }

  #rotate(now: Instant): void {
    this.#startedAt ??= now;
    if (elapsed(this.#startedAt, now) < WINDOW) return;
    const reused = this.#previous;
    this.#previous = this.#current;
    reused.reset();
    this.#current = reused;
    this.#startedAt = now;
  }
}

function emptyHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_MILLISECONDS * UNITS_PER_MILLISECOND,
    numberOfSignificantValueDigits: 2,
  });
}
