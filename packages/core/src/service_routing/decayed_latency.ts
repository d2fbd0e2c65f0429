import {
  type Duration,
  elapsed,
  type Instant,
  milliseconds,
} from "../shared/mod.ts";

/**
 * A peak-sensitive moving average of latency: a higher sample replaces it at
 * once, lower samples and idle time bring it down exponentially (the "peak
 * EWMA" of Finagle's load balancers).
 */
export class DecayedLatency {
  readonly #timeConstant: Duration;
  #value = 0;
  #updatedAt: Instant | undefined;

  /** @param timeConstant In which an old sample fades to 1/e. */
  constructor(timeConstant: Duration) {
    this.#timeConstant = timeConstant;
  }

  /**
   * Takes a sample.
   * @param now The present time.
   * @param sample The latency seen.
   */
  add(now: Instant, sample: Duration): void {
    const kept = this.#decay(now);
    this.#value = sample > this.#value
      ? sample
      : this.#value * kept + sample * (1 - kept);
    this.#updatedAt = now;
  }

  /**
   * Reads the average.
   * @param now The present time.
   * @returns The latency, or nothing before the first sample.
   */
  read(now: Instant): Duration | undefined {
    if (this.#updatedAt === undefined) return undefined;
    return milliseconds(this.#value * this.#decay(now));
  }

  #decay(now: Instant): number {
    if (this.#updatedAt === undefined) return 0;
    const idle = Math.max(0, elapsed(this.#updatedAt, now));
    return Math.exp(-idle / this.#timeConstant);
  }
}
