import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * A peak-sensitive moving average of latency, as the "peak EWMA" of Finagle's
 * load balancers: a higher sample replaces the value at once, lower samples and
 * idle time reduce it exponentially.
 */
export class DecayedLatency {
  readonly #timeConstant: Duration;
  #value = 0;
  #updatedAt: Instant | undefined;

  /** @param timeConstant Time in which an old sample decays to 1/e. */
  constructor(timeConstant: Duration) {
    this.#timeConstant = timeConstant;
  }

  /**
   * Adds a sample.
   * @param now The present time.
   * @param sample The measured latency.
   */
  add(now: Instant, sample: Duration): void {
    const retainedShare = this.#decayFactor(now);
    this.#value = sample > this.#value
      ? sample
      : this.#value * retainedShare + sample * (1 - retainedShare);
    this.#updatedAt = now;
  }

  /**
   * Reads the average.
   * @param now The present time.
   * @returns The latency, or undefined before the first sample.
   */
  read(now: Instant): Duration | undefined {
    if (this.#updatedAt === undefined) return undefined;
    return milliseconds(this.#value * this.#decayFactor(now));
  }

  #decayFactor(now: Instant): number {
    if (this.#updatedAt === undefined) return 0;
    const idle = Math.max(0, elapsed(this.#updatedAt, now));
    return Math.exp(-idle / this.#timeConstant);
  }
}
