import { type Instant, instant } from "../shared/mod.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Limits events to a rate, with a burst after a pause (GCRA). */
export class RateLimit {
  readonly #interval: number;
  readonly #burst: number;
  /** The theoretical arrival time of the generic cell rate algorithm. */
  #theoreticalArrival = -Infinity;

  /**
   * @param perSecond Number of events per second.
   * @param burst Number of events allowed at once after a pause.
   */
  constructor(perSecond: number, burst: number) {
    this.#interval = MILLISECONDS_PER_SECOND / perSecond;
    this.#burst = burst;
  }

  /**
   * Finds when the next event is allowed.
   * @param now The present time.
   * @returns The present time, or a later one.
   */
  allowedAt(now: Instant): Instant {
    const earliest = this.#theoreticalArrival -
      (this.#burst - 1) * this.#interval;
    return instant(Math.max(now, earliest));
  }

  /**
   * Records an event.
   * @param now The present time.
   */
  take(now: Instant): void {
    this.#theoreticalArrival = Math.max(now, this.#theoreticalArrival) +
      this.#interval;
  }
}
